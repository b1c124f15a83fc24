//! Property tests of the agreement on expert maps with engines that execute orders late or never.
//!
//! The checked invariant: no step starts while two ranks use different maps.

use std::collections::VecDeque;

use googletest::prelude::*;
use pomeloramp_lib::CoordinatorRequest;
use pomeloramp_lib::EngineOrder;
use pomeloramp_lib::EngineSequencer;
use pomeloramp_lib::ExpertSlots;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::MapAction;
use pomeloramp_lib::MapCoordinator;
use pomeloramp_lib::MapOrder;
use pomeloramp_lib::MapParticipant;
use pomeloramp_lib::MapReply;
use pomeloramp_lib::MapRequest;
use pomeloramp_lib::OrderResult;
use pomeloramp_lib::OrderTerms;
use pomeloramp_lib::RankReport;
use pomeloramp_lib::SequencerAction;
use pomeloramp_testutils::LateEngine;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

const RANKS: usize = 3;
const TICK_MS: u64 = 40;
const LEAD_STEPS: u64 = 2;
const MAX_OPERATIONS: usize = 700;
const CASES: u32 = 600;

/// Terms that any engine accepts at any number of orders.
const ANY_COUNT: OrderTerms = OrderTerms {
    group_incarnation: 1,
    fencing_token: u64::MAX,
    expected_order_count: None,
};

fn copy_order(map_id: u64) -> EngineOrder {
    EngineOrder::Copy {
        map_id,
        slots: ExpertSlots::new(1, 1, vec![1]).unwrap(),
    }
}

struct Agent {
    participant: MapParticipant,
    /// The map order that is being executed, and its next action.
    current_order: Option<(EngineSequencer, SequencerAction)>,
    /// Fencing token of the agent's orders.
    token: u64,
}

impl Agent {
    /// Returns the terms of an order, with a token that is as high as the ids that the engine reports.
    fn terms(&mut self, map_id: u64, engine: &LateEngine, expected: Option<u64>) -> OrderTerms {
        let armed = engine.armed.map_or(0, |(armed, _)| armed);
        let reported = engine.map.max(engine.copied.unwrap_or(0)).max(armed);
        self.token = self.token.max(map_id).max(reported);
        OrderTerms {
            group_incarnation: 1,
            fencing_token: self.token,
            expected_order_count: expected,
        }
    }
}

/// The sender of a request. Replies to an abandoned coordinator are dropped.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Origin {
    Coordinator { slot: usize, nonce: u32 },
    Participant(usize),
}

enum Message {
    Request {
        to: usize,
        from: Origin,
        call_id: u64,
        request: MapRequest,
    },
    Reply {
        rank: usize,
        from: Origin,
        call_id: u64,
        reply: MapReply,
    },
}

/// A rank group with its agents, one proposing coordinator and one recovering coordinator per rank.
struct Group {
    engines: Vec<LateEngine>,
    agents: Vec<Agent>,
    /// The coordinators with their nonces: first the proposing one, then that of each rank.
    coordinators: Vec<Option<(u32, MapCoordinator)>>,
    network: VecDeque<Message>,
    /// For each rank, the requests that wait for a reply: the participant's call id, the sender, and
    /// the sender's call id.
    pending_requests: Vec<Vec<(u64, Origin, u64)>>,
    step: u64,
    now_ms: u64,
    next_id: u32,
    next_call_id: u64,
}

impl Group {
    /// Creates a group whose engines check fencing tokens or ignore them.
    fn new(checks_tokens: bool) -> Self {
        let mut group = Self {
            engines: vec![LateEngine::new(checks_tokens); RANKS],
            agents: Vec::new(),
            coordinators: (0..=RANKS).map(|_| None).collect(),
            network: VecDeque::new(),
            pending_requests: vec![Vec::new(); RANKS],
            step: 0,
            now_ms: 0,
            next_id: 1,
            next_call_id: 0,
        };
        for rank in 0..RANKS {
            let agent = group.new_agent(rank);
            group.agents.push(agent);
        }
        group
    }

    fn new_agent(&mut self, rank: usize) -> Agent {
        self.next_id += 1;
        let incarnation = Incarnation(u64::from(self.next_id));
        Agent {
            participant: MapParticipant::new(incarnation, rank as u64),
            current_order: None,
            token: 0,
        }
    }

    /// Starts the next step unless a rank holds it; fails if two ranks use different maps.
    fn start_step(&mut self) -> Result<(), TestCaseError> {
        let next = self.step + 1;
        if self
            .engines
            .iter()
            .any(|engine| engine.held_step == Some(next))
        {
            return Ok(());
        }
        self.step = next;
        for engine in &mut self.engines {
            engine.start_step(next);
        }
        let first = self.engines[0].map;
        let is_same_map = self.engines.iter().all(|engine| engine.map == first);
        prop_assert!(is_same_map, "step {next}: {:?}", self.engines);
        Ok(())
    }

    /// Copies a new map to the ranks, and proposes it. `fates` selects whose order to copy is executed
    /// late, and the id among those of the round: all who know an earlier map may be gone.
    fn propose(&mut self, fates: u8) {
        self.next_id += 1;
        let known = self
            .engines
            .iter()
            .zip(&self.agents)
            .map(|(engine, agent)| {
                let copied_or_active = engine.copied.unwrap_or(0).max(engine.map);
                copied_or_active.max(agent.participant.highest_ballot())
            });
        let round = (known.max().unwrap_or(0) >> 32) + 1;
        let nonce = (u64::from(fates) << 16) | u64::from(self.next_id & 0xffff);
        let map_id = (round << 32) | nonce;
        for (rank, engine) in self.engines.iter_mut().enumerate() {
            // An agent sends one order at a time, and no copy order while it holds a step.
            let agent = &mut self.agents[rank];
            if engine.held_step.is_some() || agent.current_order.is_some() {
                continue;
            }
            let order = copy_order(map_id);
            let terms = agent.terms(map_id, engine, Some(engine.order_count));
            if fates & (1 << rank) != 0 {
                engine.late_orders.push((order, terms));
            } else {
                engine.apply(&order, terms, self.step);
            }
        }
        let coordinator = MapCoordinator::builder()
            .group_incarnation(1)
            .rank_count(RANKS)
            .nonce(self.next_id)
            .lead_steps(LEAD_STEPS)
            .proposal(Vec::new())
            .map_id(map_id)
            .build();
        self.start_coordinator(0, coordinator);
    }

    fn recover(&mut self, rank: usize) {
        if self.coordinators[rank + 1]
            .as_ref()
            .is_some_and(|(_, coordinator)| coordinator.outcome().is_none())
        {
            return;
        }
        self.next_id += 1;
        let coordinator = MapCoordinator::builder()
            .group_incarnation(1)
            .rank_count(RANKS)
            .nonce(self.next_id)
            .lead_steps(LEAD_STEPS)
            .build();
        self.start_coordinator(rank + 1, coordinator);
    }

    fn start_coordinator(&mut self, slot: usize, mut coordinator: MapCoordinator) {
        let requests = coordinator.start(self.now_ms);
        let nonce = self.next_id;
        self.coordinators[slot] = Some((nonce, coordinator));
        self.send(slot, nonce, requests);
    }

    fn send(&mut self, slot: usize, nonce: u32, requests: Vec<CoordinatorRequest>) {
        for outbound in requests {
            self.network.push_back(Message::Request {
                to: outbound.rank,
                from: Origin::Coordinator { slot, nonce },
                call_id: outbound.call_id,
                request: outbound.request,
            });
        }
    }

    fn act(&mut self, rank: usize, actions: Vec<MapAction>) {
        for action in actions {
            match action {
                MapAction::Reply { call_id, reply } => self.reply(rank, call_id, reply),
                MapAction::Order(order) => {
                    let sequencer = EngineSequencer::new(order);
                    let first = sequencer.start();
                    self.agents[rank].current_order = Some((sequencer, first));
                }
                MapAction::AskPeers => self.ask_peers(rank),
                MapAction::Recover => self.recover(rank),
            }
        }
    }

    fn reply(&mut self, rank: usize, call_id: u64, reply: MapReply) {
        let position = self.pending_requests[rank]
            .iter()
            .position(|pending| pending.0 == call_id);
        let Some(position) = position else {
            return;
        };
        let (_, from, call_id) = self.pending_requests[rank].swap_remove(position);
        self.network.push_back(Message::Reply {
            rank,
            from,
            call_id,
            reply,
        });
    }

    fn ask_peers(&mut self, rank: usize) {
        for to in (0..RANKS).filter(|to| *to != rank) {
            let request = MapRequest::State(pomeloramp_lib::protos::control::MapStateRequest {
                group_incarnation: 1,
                ..Default::default()
            });
            let from = Origin::Participant(rank);
            self.network.push_back(Message::Request {
                to,
                from,
                call_id: 0,
                request,
            });
        }
    }

    fn deliver(&mut self, index: usize, is_duplicated: bool) {
        if self.network.is_empty() {
            return;
        }
        let index = index % self.network.len();
        let message = self.network.remove(index).unwrap();
        match message {
            Message::Request {
                to,
                from,
                call_id,
                request,
            } => {
                if is_duplicated {
                    let request = request.clone();
                    self.network.push_back(Message::Request {
                        to,
                        from,
                        call_id,
                        request,
                    });
                }
                let own_call_id = self.next_call_id;
                self.next_call_id += 1;
                self.pending_requests[to].push((own_call_id, from, call_id));
                let actions = self.agents[to]
                    .participant
                    .on_request(own_call_id, &request);
                self.act(to, actions);
            }
            Message::Reply {
                rank,
                from,
                call_id,
                reply,
            } => match from {
                Origin::Participant(rank) => {
                    if let MapReply::State(state) = reply {
                        let actions = self.agents[rank].participant.on_peer_state(&state);
                        self.act(rank, actions);
                    }
                }
                Origin::Coordinator { slot, nonce } => {
                    let now_ms = self.now_ms;
                    let coordinator = self.coordinators[slot].as_mut();
                    let Some((_, coordinator)) =
                        coordinator.filter(|(own_nonce, _)| *own_nonce == nonce)
                    else {
                        return;
                    };
                    let requests = coordinator.on_reply(call_id, rank, &reply, now_ms);
                    self.send(slot, nonce, requests);
                }
            },
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for rank in 0..RANKS {
            let actions = self.agents[rank].participant.tick(self.now_ms);
            self.act(rank, actions);
        }
        for slot in 0..=RANKS {
            let now_ms = self.now_ms;
            let Some((nonce, coordinator)) = &mut self.coordinators[slot] else {
                continue;
            };
            let nonce = *nonce;
            let requests = coordinator.tick(now_ms);
            self.send(slot, nonce, requests);
        }
    }

    /// Performs one exchange between an agent and its engine. `fate` selects what happens to an
    /// order.
    fn exchange(&mut self, rank: usize, fate: u8) {
        let Some((mut sequencer, next)) = self.agents[rank].current_order.take() else {
            return;
        };
        let engine = &mut self.engines[rank];
        let after = match next {
            SequencerAction::Read => sequencer.on_report(engine.report(rank, RANKS, self.step)),
            SequencerAction::Order(order) => {
                let expected = sequencer.expected_order_count();
                let terms = self.agents[rank].terms(0, engine, expected);
                let result = match fate % 8 {
                    // Neither executed nor answered.
                    0 => OrderResult::Unknown,
                    // Executed later, not answered.
                    1 | 2 => {
                        engine.late_orders.push((order, terms));
                        OrderResult::Unknown
                    }
                    // Executed, but the answer is lost.
                    3 => {
                        engine.apply(&order, terms, self.step);
                        OrderResult::Unknown
                    }
                    _ => engine.apply(&order, terms, self.step),
                };
                if result == OrderResult::Fenced {
                    self.agents[rank].token += 1 << 32;
                }
                sequencer.on_result(result)
            }
            SequencerAction::Done(_) => return,
        };
        if let SequencerAction::Done(report) = after {
            let now_ms = self.now_ms;
            let actions = self.agents[rank]
                .participant
                .on_engine_report(report, now_ms);
            self.act(rank, actions);
            return;
        }
        self.agents[rank].current_order = Some((sequencer, after));
    }

    fn execute_late_order(&mut self, rank: usize, index: usize) {
        self.engines[rank].execute_late(index, self.step);
    }

    fn restart(&mut self, rank: usize) {
        self.agents[rank] = self.new_agent(rank);
        self.pending_requests[rank].clear();
        self.coordinators[rank + 1] = None;
    }

    fn operate(&mut self, operation: (u8, u8, u8)) -> std::result::Result<(), TestCaseError> {
        let (kind, first, second) = operation;
        let rank = usize::from(first) % RANKS;
        match kind % 32 {
            0..=9 => self.deliver(usize::from(first), second % 16 == 0),
            10..=19 => self.exchange(rank, second),
            20..=23 => self.tick(),
            24..=27 => self.start_step()?,
            28 => self.execute_late_order(rank, usize::from(second)),
            29 => self.propose(second),
            30 => self.restart(rank),
            _ => {
                // A message is lost.
                self.network.pop_front();
            }
        }
        Ok(())
    }

    /// Delivers all messages and executes all orders; returns whether the group makes progress.
    fn run_without_faults(&mut self) -> std::result::Result<bool, TestCaseError> {
        let before = self.step;
        for _ in 0..400 {
            self.tick();
            for _ in 0..60 {
                self.deliver(0, false);
                for rank in 0..RANKS {
                    self.exchange(rank, u8::MAX);
                }
            }
            self.start_step()?;
        }
        Ok(self.step > before + 50)
    }
}

#[googletest::test]
fn an_order_that_is_executed_after_newer_ones_changes_no_map() {
    let mut engine = LateEngine::new(false);
    engine.apply(&copy_order(5), ANY_COUNT, 0);
    let arm = EngineOrder::Arm { map_id: 5, step: 3 };
    expect_that!(engine.apply(&arm, ANY_COUNT, 3), eq(OrderResult::Refused));
    let mut sequencer = EngineSequencer::new(MapOrder::Commit { map_id: 5 });
    let held_report = RankReport {
        held_step: Some(4),
        ..engine.report(0, RANKS, 3)
    };
    // While the arm order is unanswered, the rank must not release the hold.
    let arm = EngineOrder::Arm { map_id: 5, step: 4 };
    expect_that!(
        sequencer.on_report(held_report.clone()),
        eq(&SequencerAction::Order(arm.clone()))
    );
    expect_that!(
        sequencer.on_result(OrderResult::Unknown),
        eq(&SequencerAction::Read)
    );
    expect_that!(
        sequencer.on_report(held_report),
        eq(&SequencerAction::Order(arm))
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn steps_use_one_map_despite_late_lost_and_duplicated_orders(
        operations in prop::collection::vec(any::<(u8, u8, u8)>(), 0..MAX_OPERATIONS),
        checks_tokens in any::<bool>(),
    ) {
        let mut group = Group::new(checks_tokens);
        for operation in operations {
            group.operate(operation)?;
        }
        prop_assert!(group.run_without_faults()?, "the group is stalled: {:?}", group.engines);
    }
}

/// Delivers messages and performs exchanges one at a time until `is_reached` returns true.
fn run_until(group: &mut Group, is_reached: impl Fn(&Group) -> bool) -> bool {
    for round in 0..4_000 {
        if is_reached(group) {
            return true;
        }
        if round % 40 == 0 {
            group.tick();
        }
        group.deliver(0, false);
        group.exchange(round % RANKS, u8::MAX);
    }
    false
}

#[googletest::test]
fn an_agent_that_is_restarted_between_arming_and_releasing_stalls_nobody() {
    for restarted in 0..RANKS {
        let mut group = Group::new(true);
        run_until(&mut group, |group| {
            let agents = group.agents.iter();
            agents
                .clone()
                .all(|agent| agent.participant.engine_report().is_some())
        });
        group.propose(0);
        let is_armed_and_held = |group: &Group| {
            let engine = &group.engines[restarted];
            engine.armed.is_some() && engine.held_step.is_some()
        };
        assert_that!(run_until(&mut group, is_armed_and_held), eq(true));
        group.restart(restarted);
        expect_that!(
            group.run_without_faults().unwrap(),
            eq(true),
            "rank {restarted}"
        );
        let maps: Vec<u64> = group.engines.iter().map(|engine| engine.map).collect();
        expect_that!(maps, each(gt(&0)));
    }
}
