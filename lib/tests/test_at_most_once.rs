//! Fuzzes the decisions of entries and agents together: a call runs once at most, and one that
//! was said not to have run never does.

mod at_most_once;

use at_most_once::CALLERS;
use at_most_once::ENTRIES;
use at_most_once::EndpointEnd;
use at_most_once::VMS;
use at_most_once::World;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

#[derive(Debug, Clone)]
enum Event {
    Begin {
        caller: usize,
        entry: usize,
    },
    Resend {
        caller: usize,
        entry: usize,
    },
    GiveUp {
        caller: usize,
    },
    Deliver {
        index: usize,
    },
    DeliverAll,
    Duplicate {
        index: usize,
    },
    DropAnswer {
        index: usize,
    },
    StepEndpoint {
        index: usize,
        end: EndpointEnd,
    },
    Heartbeat {
        entry: usize,
        vm: usize,
    },
    HeartbeatAll {
        entry: usize,
    },
    StartAgent {
        vm: usize,
    },
    KillAgent {
        vm: usize,
        with_vm: bool,
    },
    ReplaceEntry {
        entry: usize,
    },
    Freeze {
        entry: usize,
        frozen: bool,
    },
    CutOff {
        entry: usize,
        vm: usize,
        cut_off: bool,
    },
    Refuse {
        vm: usize,
        refuses: bool,
    },
    Advance {
        elapsed_ms: u64,
    },
}

/// Which faults happen.
#[derive(Debug, Clone)]
struct Faulty;

/// Nothing fails, but messages come late and callers lose patience.
#[derive(Debug, Clone)]
struct Calm;

fn ordinary_events() -> BoxedStrategy<Event> {
    let caller = 0..CALLERS;
    let entry = 0..ENTRIES;
    let index = 0..64_usize;
    let pair = (caller.clone(), entry.clone());
    prop_oneof![
        8 => pair.clone().prop_map(|(caller, entry)| Event::Begin { caller, entry }),
        6 => pair.prop_map(|(caller, entry)| Event::Resend { caller, entry }),
        1 => caller.prop_map(|caller| Event::GiveUp { caller }),
        20 => index.clone().prop_map(|index| Event::Deliver { index }),
        4 => Just(Event::DeliverAll),
        5 => index.clone().prop_map(|index| Event::Duplicate { index }),
        10 => index.prop_map(|index| Event::StepEndpoint { index, end: EndpointEnd::Answers }),
        6 => entry.clone().prop_map(|entry| Event::HeartbeatAll { entry }),
        2 => (entry, 0..VMS).prop_map(|(entry, vm)| Event::Heartbeat { entry, vm }),
        4 => (1..60_u64).prop_map(|elapsed_ms| Event::Advance { elapsed_ms }),
    ]
    .boxed()
}

fn fault_events() -> BoxedStrategy<Event> {
    let entry = 0..ENTRIES;
    let vm = 0..VMS;
    let index = 0..64_usize;
    let bad_end = prop_oneof![
        Just(EndpointEnd::RunsAndIsLost),
        Just(EndpointEnd::IsLostBeforeRunning),
        Just(EndpointEnd::NotStarted),
    ];
    let cut = (entry.clone(), vm.clone(), any::<bool>());
    prop_oneof![
        4 => vm.clone().prop_map(|vm| Event::StartAgent { vm }),
        2 => (vm.clone(), any::<bool>()).prop_map(|(vm, with_vm)| Event::KillAgent { vm, with_vm }),
        1 => entry.clone().prop_map(|entry| Event::ReplaceEntry { entry }),
        4 => (entry, any::<bool>()).prop_map(|(entry, frozen)| Event::Freeze { entry, frozen }),
        4 => cut.prop_map(|(entry, vm, cut_off)| Event::CutOff { entry, vm, cut_off }),
        4 => (vm, any::<bool>()).prop_map(|(vm, refuses)| Event::Refuse { vm, refuses }),
        2 => index.clone().prop_map(|index| Event::DropAnswer { index }),
        4 => (index, bad_end).prop_map(|(index, end)| Event::StepEndpoint { index, end }),
    ]
    .boxed()
}

impl ReferenceStateMachine for Faulty {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        prop_oneof![5 => ordinary_events(), 1 => fault_events()].boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

impl ReferenceStateMachine for Calm {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        ordinary_events()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

fn apply(world: &mut World, event: &Event) {
    match *event {
        Event::Begin { caller, entry } => world.begin(caller, entry),
        Event::Resend { caller, entry } => world.resend(caller, entry),
        Event::GiveUp { caller } => world.give_up(caller),
        Event::Deliver { index } => world.deliver(index),
        Event::DeliverAll => (0..24).for_each(|index| world.deliver(index)),
        Event::Duplicate { index } => world.duplicate(index),
        Event::DropAnswer { index } => world.drop_answer(index),
        Event::StepEndpoint { index, end } => world.step_endpoint(index, end),
        Event::Heartbeat { entry, vm } => world.heartbeat(entry, vm),
        Event::HeartbeatAll { entry } => (0..VMS).for_each(|vm| world.heartbeat(entry, vm)),
        Event::StartAgent { vm } => world.start_agent(vm),
        Event::KillAgent { vm, with_vm } => world.kill_agent(vm, with_vm),
        Event::ReplaceEntry { entry } => world.replace_entry(entry),
        Event::Freeze { entry, frozen } => world.set_frozen(entry, frozen),
        Event::CutOff { entry, vm, cut_off } => world.set_cut_off(entry, vm, cut_off),
        Event::Refuse { vm, refuses } => world.set_refusing(vm, refuses),
        Event::Advance { elapsed_ms } => world.advance(elapsed_ms),
    }
}

struct FaultyWorld;

impl StateMachineTest for FaultyWorld {
    type SystemUnderTest = World;
    type Reference = Faulty;

    fn init_test(_: &Faulty) -> World {
        World::new(1)
    }

    fn apply(mut world: World, _: &Faulty, event: Event) -> World {
        apply(&mut world, &event);
        world
    }

    fn check_invariants(world: &World, _: &Faulty) {
        world.check();
    }

    fn teardown(mut world: World, _: Faulty) {
        println!("{:?}", world.heard);
        world.settle();
        world.check();
    }
}

struct CalmWorld;

impl StateMachineTest for CalmWorld {
    type SystemUnderTest = World;
    type Reference = Calm;

    fn init_test(_: &Calm) -> World {
        World::new(1_000)
    }

    fn apply(mut world: World, _: &Calm, event: Event) -> World {
        apply(&mut world, &event);
        world
    }

    fn check_invariants(world: &World, _: &Calm) {
        world.check();
        assert_eq!(world.heard.unknown, 0, "unknown though nothing failed");
    }

    fn teardown(mut world: World, _: Calm) {
        world.settle();
        world.check();
        assert_eq!(world.heard.unknown, 0, "unknown though nothing failed");
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 400, ..Config::default() })]

    #[test]
    fn a_call_runs_once_at_most(sequential 1..300 => FaultyWorld);

    #[test]
    fn nothing_is_unknown_while_nothing_fails(sequential 1..300 => CalmWorld);
}
