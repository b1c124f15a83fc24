//! State machine test of the agreement on expert maps under faults.
//!
//! It checks that all ranks use the same map in every step, that no map is both committed and
//! released, and that the group makes progress again once the faults have stopped and a coordinator
//! has received replies from all ranks.

use pomeloramp_testutils::MapGroup;
use proptest::collection::vec;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const MIN_RANKS: usize = 2;
const MAX_RANKS: usize = 4;
const COORDINATOR_SLOTS: usize = 3;
/// Number of cases, unless `PROPTEST_CASES` sets a higher one.
const MIN_CASES: u32 = 1_700;
const FAULT_FREE_ROUNDS: usize = 30;
const MIN_PROGRESS_STEPS: u64 = 10;

#[derive(Debug, Clone)]
enum Transition {
    Step {
        rank: usize,
    },
    StartCoordinator {
        slot: usize,
        proposes: bool,
        lead_steps: u64,
    },
    Suspend {
        slot: usize,
        is_suspended: bool,
    },
    Deliver {
        index: usize,
        is_duplicated: bool,
    },
    DeliverInOrder {
        count: usize,
    },
    DeliverLinked {
        slot: usize,
        is_linked: Vec<bool>,
        limit: usize,
    },
    Drop {
        index: usize,
    },
    ExecuteOrder {
        rank: usize,
    },
    RestartAgent {
        rank: usize,
        is_order_done: bool,
    },
    ReplaceRank {
        rank: usize,
    },
    Tick,
}

/// Faults are generated regardless of the group's state; the only state of the model is the number
/// of ranks.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = usize;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<usize> {
        (MIN_RANKS..=MAX_RANKS).boxed()
    }

    fn transitions(ranks: &usize) -> BoxedStrategy<Transition> {
        let rank = 0..*ranks;
        let slot = 0..COORDINATOR_SLOTS;
        prop_oneof![
            8 => rank.clone().prop_map(|rank| Transition::Step { rank }),
            8 => (slot.clone(), any::<bool>(), 1..4_u64).prop_map(
                |(slot, proposes, lead_steps)| Transition::StartCoordinator {
                    slot,
                    proposes,
                    lead_steps,
                }
            ),
            2 => (slot.clone(), any::<bool>())
                .prop_map(|(slot, is_suspended)| Transition::Suspend { slot, is_suspended }),
            12 => (0..12_usize, proptest::bool::weighted(0.2))
                .prop_map(|(index, is_duplicated)| Transition::Deliver { index, is_duplicated }),
            30 => (slot.clone(), vec(proptest::bool::weighted(0.7), *ranks), 1..16_usize).prop_map(
                |(slot, is_linked, limit)| Transition::DeliverLinked { slot, is_linked, limit }
            ),
            6 => (1..8_usize).prop_map(|count| Transition::DeliverInOrder { count }),
            3 => (0..12_usize).prop_map(|index| Transition::Drop { index }),
            8 => rank.clone().prop_map(|rank| Transition::ExecuteOrder { rank }),
            5 => (rank.clone(), any::<bool>()).prop_map(|(rank, is_order_done)| {
                Transition::RestartAgent { rank, is_order_done }
            }),
            1 => rank.prop_map(|rank| Transition::ReplaceRank { rank }),
            4 => Just(Transition::Tick),
        ]
        .boxed()
    }

    fn preconditions(ranks: &usize, transition: &Transition) -> bool {
        match transition {
            Transition::Step { rank }
            | Transition::ExecuteOrder { rank }
            | Transition::RestartAgent { rank, .. }
            | Transition::ReplaceRank { rank } => rank < ranks,
            Transition::DeliverLinked { is_linked, .. } => is_linked.len() == *ranks,
            _ => true,
        }
    }

    fn apply(ranks: usize, _transition: &Transition) -> usize {
        ranks
    }
}

struct AgreementTest;

impl StateMachineTest for AgreementTest {
    type SystemUnderTest = MapGroup;
    type Reference = Faults;

    fn init_test(ranks: &usize) -> MapGroup {
        MapGroup::new(*ranks, COORDINATOR_SLOTS)
    }

    fn apply(mut group: MapGroup, ranks: &usize, transition: Transition) -> MapGroup {
        match transition {
            Transition::Step { rank } => group.step(rank),
            Transition::StartCoordinator {
                slot,
                proposes,
                lead_steps,
            } => group.start_coordinator(slot, proposes, lead_steps),
            Transition::Suspend { slot, is_suspended } => group.set_suspended(slot, is_suspended),
            Transition::Deliver {
                index,
                is_duplicated,
            } => group.deliver(index, is_duplicated),
            Transition::DeliverInOrder { count } => {
                for rank in 0..*ranks {
                    group.execute_order(rank);
                }
                for _ in 0..count {
                    group.deliver(0, false);
                }
            }
            Transition::DeliverLinked {
                slot,
                is_linked,
                limit,
            } => group.deliver_linked(slot, &is_linked, limit),
            Transition::Drop { index } => group.drop_message(index),
            Transition::ExecuteOrder { rank } => group.execute_order(rank),
            Transition::RestartAgent {
                rank,
                is_order_done,
            } => group.restart_agent(rank, is_order_done),
            Transition::ReplaceRank { rank } => group.replace_rank(rank),
            Transition::Tick => group.tick(),
        }
        group
    }

    fn check_invariants(group: &MapGroup, _ranks: &usize) {
        assert_eq!(group.violations, Vec::<String>::new());
    }

    fn teardown(mut group: MapGroup, _ranks: usize) {
        group.start_coordinator(0, false, 1);
        for _ in 0..FAULT_FREE_ROUNDS {
            group.run_without_faults();
        }
        assert_progress(&mut group);
        for slot in 0..COORDINATOR_SLOTS {
            group.set_suspended(slot, false);
        }
        for _ in 0..FAULT_FREE_ROUNDS {
            group.run_without_faults();
        }
        assert_progress(&mut group);
        assert_eq!(group.violations, Vec::<String>::new());
    }
}

fn assert_progress(group: &mut MapGroup) {
    let before: Vec<u64> = group.engines.iter().map(|engine| engine.step).collect();
    for _ in 0..=MIN_PROGRESS_STEPS {
        group.run_without_faults();
    }
    for (engine, before) in group.engines.iter().zip(before) {
        assert!(
            engine.step >= before + MIN_PROGRESS_STEPS,
            "the group is stuck at step {before}: {engine:?}"
        );
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: Config::default().cases.max(MIN_CASES), max_shrink_iters: 20_000, ..Config::default() })]

    #[test]
    fn ranks_agree_on_maps_under_faults(sequential 1..120 => AgreementTest);
}
