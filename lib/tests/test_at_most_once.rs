//! Property tests of the decisions of entries and agents together: a call runs at most once, and a
//! call that was answered `not-run` never runs under the same placement.

mod at_most_once;

use at_most_once::CALLERS;
use at_most_once::ENTRIES;
use at_most_once::EndpointEnd;
use at_most_once::Simulation;
use at_most_once::VMS;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

#[derive(Debug, Clone)]
enum Event {
    StartCall {
        caller: usize,
        entry: usize,
    },
    Resend {
        caller: usize,
        entry: usize,
    },
    AbandonCall {
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
    SetSuspended {
        entry: usize,
        suspended: bool,
    },
    SetCutOff {
        entry: usize,
        vm: usize,
        cut_off: bool,
    },
    SetRefusesCalls {
        vm: usize,
        refuses_calls: bool,
    },
    Advance {
        elapsed_ms: u64,
    },
}

/// Events include faults: processes and connections fail, and agents refuse calls.
#[derive(Debug, Clone)]
struct WithFaults;

/// Nothing fails, but messages are delayed and callers resend or abandon calls.
#[derive(Debug, Clone)]
struct WithoutFaults;

fn ordinary_events() -> BoxedStrategy<Event> {
    let caller = 0..CALLERS;
    let entry = 0..ENTRIES;
    let index = 0..64_usize;
    let pair = (caller.clone(), entry.clone());
    prop_oneof![
        8 => pair.clone().prop_map(|(caller, entry)| Event::StartCall { caller, entry }),
        6 => pair.prop_map(|(caller, entry)| Event::Resend { caller, entry }),
        1 => caller.prop_map(|caller| Event::AbandonCall { caller }),
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
        4 => (entry, any::<bool>()).prop_map(|(entry, suspended)| Event::SetSuspended { entry, suspended }),
        4 => cut.prop_map(|(entry, vm, cut_off)| Event::SetCutOff { entry, vm, cut_off }),
        4 => (vm, any::<bool>()).prop_map(|(vm, refuses_calls)| Event::SetRefusesCalls { vm, refuses_calls }),
        2 => index.clone().prop_map(|index| Event::DropAnswer { index }),
        4 => (index, bad_end).prop_map(|(index, end)| Event::StepEndpoint { index, end }),
    ]
    .boxed()
}

impl ReferenceStateMachine for WithFaults {
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

impl ReferenceStateMachine for WithoutFaults {
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

fn apply(simulation: &mut Simulation, event: &Event) {
    match *event {
        Event::StartCall { caller, entry } => simulation.start_call(caller, entry),
        Event::Resend { caller, entry } => simulation.resend(caller, entry),
        Event::AbandonCall { caller } => simulation.abandon_call(caller),
        Event::Deliver { index } => simulation.deliver(index),
        Event::DeliverAll => (0..24).for_each(|index| simulation.deliver(index)),
        Event::Duplicate { index } => simulation.duplicate(index),
        Event::DropAnswer { index } => simulation.drop_answer(index),
        Event::StepEndpoint { index, end } => simulation.step_endpoint(index, end),
        Event::Heartbeat { entry, vm } => simulation.heartbeat(entry, vm),
        Event::HeartbeatAll { entry } => (0..VMS).for_each(|vm| simulation.heartbeat(entry, vm)),
        Event::StartAgent { vm } => simulation.start_agent(vm),
        Event::KillAgent { vm, with_vm } => simulation.kill_agent(vm, with_vm),
        Event::ReplaceEntry { entry } => simulation.replace_entry(entry),
        Event::SetSuspended { entry, suspended } => simulation.set_suspended(entry, suspended),
        Event::SetCutOff { entry, vm, cut_off } => simulation.set_cut_off(entry, vm, cut_off),
        Event::SetRefusesCalls { vm, refuses_calls } => simulation.set_refusing(vm, refuses_calls),
        Event::Advance { elapsed_ms } => simulation.advance(elapsed_ms),
    }
}

struct FaultySimulation;

impl StateMachineTest for FaultySimulation {
    type SystemUnderTest = Simulation;
    type Reference = WithFaults;

    fn init_test(_: &WithFaults) -> Simulation {
        Simulation::new(1)
    }

    fn apply(mut simulation: Simulation, _: &WithFaults, event: Event) -> Simulation {
        apply(&mut simulation, &event);
        simulation
    }

    fn check_invariants(simulation: &Simulation, _: &WithFaults) {
        simulation.check();
    }

    fn teardown(mut simulation: Simulation, _: WithFaults) {
        println!("{:?}", simulation.answer_counts);
        simulation.settle();
        simulation.check();
    }
}

struct FaultFreeSimulation;

impl StateMachineTest for FaultFreeSimulation {
    type SystemUnderTest = Simulation;
    type Reference = WithoutFaults;

    fn init_test(_: &WithoutFaults) -> Simulation {
        Simulation::new(1_000)
    }

    fn apply(mut simulation: Simulation, _: &WithoutFaults, event: Event) -> Simulation {
        apply(&mut simulation, &event);
        simulation
    }

    fn check_invariants(simulation: &Simulation, _: &WithoutFaults) {
        simulation.check();
        assert_eq!(
            simulation.answer_counts.unknown, 0,
            "outcome unknown although nothing failed"
        );
    }

    fn teardown(mut simulation: Simulation, _: WithoutFaults) {
        simulation.settle();
        simulation.check();
        assert_eq!(
            simulation.answer_counts.unknown, 0,
            "outcome unknown although nothing failed"
        );
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 400, ..Config::default() })]

    #[test]
    fn a_call_runs_at_most_once(sequential 1..300 => FaultySimulation);

    #[test]
    fn no_outcome_is_unknown_without_faults(sequential 1..300 => FaultFreeSimulation);
}
