//! State machine test of a process's view of the other VMs against a simple reference model.

use std::collections::BTreeMap;

use pomeloramp_lib::Incarnation;
use pomeloramp_lib::ListedVm;
use pomeloramp_lib::Member;
use pomeloramp_lib::MemberReport;
use pomeloramp_lib::MemberState;
use pomeloramp_lib::Membership;
use pomeloramp_lib::MembershipSettings;
use pomeloramp_lib::ReportEffect;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_oneof;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const VMS: usize = 3;
const SUSPECT_AFTER_MS: u64 = 3_000;
/// Number of former incarnations whose late reports are generated.
const FORMER_INCARNATIONS: u64 = 8;

#[derive(Clone, Debug)]
enum Event {
    Restart(usize),
    StartLeaving(usize),
    SendRequest(usize),
    Answer(prop::sample::Index),
    DeliverAnswer(prop::sample::Index),
    DeliverAnswerCopy(prop::sample::Index),
    /// A process that was replaced still answers on an old connection.
    AnswerFromFormer(usize, u64),
    PublishList(Vec<Option<bool>>),
    RoundTrip(usize),
    /// A request to the process fails.
    FailRequest(usize),
    PassTime,
}

#[derive(Clone, Debug)]
struct Step {
    after_ms: u64,
    event: Event,
}

/// Actual state of one VM.
#[derive(Clone, Debug, Default)]
struct Process {
    run: u64,
    run_since_ms: u64,
    leaving_since_ms: Option<u64>,
    /// Time of the last failed request.
    failed_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Answer {
    vm: usize,
    run: u64,
    leaving: bool,
    request_sent_ms: u64,
    made_ms: u64,
}

/// Actual state of all VMs, and the messages in flight.
#[derive(Clone, Debug, Default)]
struct World {
    now_ms: u64,
    processes: Vec<Process>,
    /// Requests in flight: the VM, and the time of sending.
    requests: Vec<(usize, u64)>,
    answers: Vec<Answer>,
    /// The answer that the last step delivered.
    delivered: Option<Answer>,
}

impl World {
    fn answer(&self, vm: usize, request_sent_ms: u64) -> Answer {
        Answer {
            vm,
            run: self.processes[vm].run,
            leaving: self.processes[vm].leaving_since_ms.is_some(),
            request_sent_ms,
            made_ms: self.now_ms,
        }
    }
}

impl ReferenceStateMachine for World {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let world = Self {
            processes: vec![Process::default(); VMS],
            ..Self::default()
        };
        Just(world).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let index = any::<prop::sample::Index>;
        let list =
            prop::collection::vec(prop::option::weighted(0.8, prop::bool::weighted(0.2)), VMS);
        let event = prop_oneof![
            4 => (0..VMS).prop_map(Event::Restart),
            3 => (0..VMS).prop_map(Event::StartLeaving),
            20 => (0..VMS).prop_map(Event::SendRequest),
            20 => index().prop_map(Event::Answer),
            20 => index().prop_map(Event::DeliverAnswer),
            4 => index().prop_map(Event::DeliverAnswerCopy),
            3 => (0..VMS, 1..=FORMER_INCARNATIONS).prop_map(|(vm, runs_ago)| Event::AnswerFromFormer(vm, runs_ago)),
            4 => list.prop_map(Event::PublishList),
            8 => (0..VMS).prop_map(Event::RoundTrip),
            4 => (0..VMS).prop_map(Event::FailRequest),
            8 => Just(Event::PassTime),
        ];
        (prop_oneof![0_u64..3, 0_u64..1_500], event)
            .prop_map(|(after_ms, event)| Step { after_ms, event })
            .boxed()
    }

    fn apply(mut world: Self, step: &Step) -> Self {
        world.now_ms += step.after_ms;
        world.delivered = None;
        match &step.event {
            Event::Restart(vm) => {
                let process = &mut world.processes[*vm];
                process.run += 1;
                process.run_since_ms = world.now_ms;
                process.leaving_since_ms = None;
            }
            Event::StartLeaving(vm) => {
                let since_ms = &mut world.processes[*vm].leaving_since_ms;
                *since_ms = since_ms.or(Some(world.now_ms));
            }
            Event::SendRequest(vm) => world.requests.push((*vm, world.now_ms)),
            Event::Answer(index) if !world.requests.is_empty() => {
                let (vm, request_sent_ms) =
                    world.requests.remove(index.index(world.requests.len()));
                world.answers.push(world.answer(vm, request_sent_ms));
            }
            Event::DeliverAnswer(index) if !world.answers.is_empty() => {
                let answer = world.answers.remove(index.index(world.answers.len()));
                world.delivered = Some(answer);
            }
            Event::DeliverAnswerCopy(index) if !world.answers.is_empty() => {
                world.delivered = Some(index.get(&world.answers).clone());
            }
            Event::AnswerFromFormer(vm, runs_ago) if world.processes[*vm].run >= *runs_ago => {
                let mut answer = world.answer(*vm, world.now_ms);
                answer.run -= runs_ago;
                world.delivered = Some(answer);
            }
            Event::FailRequest(vm) => world.processes[*vm].failed_ms = Some(world.now_ms),
            Event::RoundTrip(vm) => world.delivered = Some(world.answer(*vm, world.now_ms)),
            _ => {}
        }
        world
    }
}

/// The view under test, and the runs of each process that it has shown.
struct View {
    membership: Membership,
    seen_runs: BTreeMap<usize, Vec<u64>>,
    listed_leaving: [bool; VMS],
    /// Latest time at which an accepted report was made.
    latest_made_ms: [Option<u64>; VMS],
}

/// Returns a process's clock, which runs a thousandth too fast, exactly, or a thousandth too slow.
fn process_clock_ms(vm: usize, time_ms: u64) -> u64 {
    let per_s_ms = [1_001, 1_000, 999];
    time_ms * per_s_ms[vm % VMS] / 1_000
}

fn vm_name(vm: usize) -> String {
    format!("vm-{vm}")
}

/// Returns the incarnation of a run. Incarnations have no order, so runs are scattered over the
/// numbers.
fn incarnation(run: u64) -> Incarnation {
    Incarnation((run + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

impl View {
    fn observe(&mut self, answer: &Answer, now_ms: u64) {
        let report = MemberReport {
            vm_name: vm_name(answer.vm),
            incarnation: incarnation(answer.run),
            clock_ms: process_clock_ms(answer.vm, answer.made_ms),
            leaving: answer.leaving,
            endpoint_up: true,
            config_revision: 0,
        };
        let effect = self
            .membership
            .observe_report(&report, answer.request_sent_ms, now_ms);
        if effect == ReportEffect::Ignored {
            return;
        }
        let latest_made_ms = &mut self.latest_made_ms[answer.vm];
        *latest_made_ms = (*latest_made_ms).max(Some(answer.made_ms));
    }

    fn known_run(&self, vm: usize, up_to: u64) -> Option<u64> {
        let known = self.membership.member(&vm_name(vm))?.report()?.incarnation;
        let run = (0..=up_to).find(|run| incarnation(*run) == known);
        Some(run.expect("an incarnation that exists"))
    }
}

impl StateMachineTest for View {
    type SystemUnderTest = Self;
    type Reference = World;

    fn init_test(_: &World) -> Self {
        let settings = MembershipSettings::builder()
            .vm_name("entry-1".to_owned())
            .suspect_after_ms(SUSPECT_AFTER_MS)
            .forget_after_ms(u64::MAX)
            .build();
        let mut view = Self {
            membership: Membership::new(settings),
            seen_runs: BTreeMap::new(),
            listed_leaving: [false; VMS],
            latest_made_ms: [None; VMS],
        };
        view.observe_list(&[Some(false); VMS], 0);
        view
    }

    fn apply(mut view: Self, world: &World, step: Step) -> Self {
        if let Event::PublishList(list) = &step.event {
            view.observe_list(list, world.now_ms);
        }
        if let Event::FailRequest(vm) = step.event {
            view.membership.observe_failure(&vm_name(vm), world.now_ms);
        }
        let Some(answer) = &world.delivered else {
            return view;
        };
        if let Event::AnswerFromFormer(vm, _) = step.event {
            let seen = view.seen_runs.get(&vm);
            let former = seen.map_or(&[][..], |runs| &runs[..runs.len() - 1]);
            if !former.contains(&answer.run) {
                return view;
            }
        }
        view.observe(answer, world.now_ms);
        view.check_round_trip(world, &step.event);
        view.record_run(answer.vm, world);
        view
    }

    fn check_invariants(view: &Self, world: &World) {
        for (vm, process) in world.processes.iter().enumerate() {
            let state = view.membership.state(&vm_name(vm), world.now_ms);
            let is_alive = state == Some(MemberState::Alive);
            let made_ms = view.latest_made_ms[vm];
            let has_no_report_since = process.failed_ms.is_some() && made_ms <= process.failed_ms;
            assert!(
                !has_no_report_since || !is_alive,
                "{vm} has failed and still counts as alive"
            );
            let member = view.membership.member(&vm_name(vm));
            let latest_report_ms = member.map_or(0, Member::latest_report_ms);
            assert!(
                latest_report_ms <= made_ms.unwrap_or(0),
                "{vm} counts as having reported at {latest_report_ms} and did at {made_ms:?}"
            );
            let leaving_ms = process.leaving_since_ms.map(|since| world.now_ms - since);
            let known_run = view.known_run(vm, process.run);
            if known_run == Some(process.run) {
                let must_not_be_alive = leaving_ms > Some(SUSPECT_AFTER_MS);
                assert!(
                    !must_not_be_alive || !is_alive,
                    "{vm} takes no work and still counts as alive"
                );
            } else {
                let must_not_be_alive = world.now_ms - process.run_since_ms > SUSPECT_AFTER_MS;
                assert!(
                    !must_not_be_alive || !is_alive,
                    "{vm} was replaced and still counts as alive"
                );
            }
        }
    }
}

impl View {
    fn observe_list(&mut self, list: &[Option<bool>], now_ms: u64) {
        let mut vms = Vec::new();
        for (vm, leaving) in list.iter().enumerate() {
            let Some(leaving) = leaving else {
                continue;
            };
            self.listed_leaving[vm] = *leaving;
            vms.push(ListedVm {
                vm_name: vm_name(vm),
                availability_zone: String::new(),
                peer_address: String::new(),
                service: String::new(),
                leaving: *leaving,
            });
        }
        self.membership.observe_list(&vms, now_ms);
    }

    /// After a round trip in no time, without other reports, the view shows the actual state.
    fn check_round_trip(&mut self, world: &World, event: &Event) {
        let Event::RoundTrip(vm) = event else {
            return;
        };
        let Some(member) = self.membership.member(&vm_name(*vm)) else {
            return;
        };
        let is_settled = member.latest_report_ms() == world.now_ms;
        let is_failed = world.processes[*vm].failed_ms == Some(world.now_ms);
        if !is_settled || is_failed || self.listed_leaving[*vm] {
            return;
        }
        let process = &world.processes[*vm];
        let state = self.membership.state(&vm_name(*vm), world.now_ms);
        let is_current = self.known_run(*vm, process.run) == Some(process.run);
        if is_current && process.leaving_since_ms.is_none() {
            assert_eq!(state, Some(MemberState::Alive));
        } else if is_current {
            assert_eq!(state, Some(MemberState::Leaving));
        }
    }

    fn record_run(&mut self, vm: usize, world: &World) {
        let Some(run) = self.known_run(vm, world.processes[vm].run) else {
            return;
        };
        let runs = self.seen_runs.entry(vm).or_default();
        if let Some(last) = runs.last() {
            assert!(run >= *last, "{vm} went back from run {last} to {run}");
        }
        if runs.last() != Some(&run) {
            runs.push(run);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn view_follows_the_actual_state(sequential 1..150 => View);
}
