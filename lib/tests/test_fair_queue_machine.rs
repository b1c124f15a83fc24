//! Stateful fuzzing of the weighted fair queue of one endpoint against a model.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use pomeloramp_lib::Admission;
use pomeloramp_lib::FairQueue;
use pomeloramp_lib::FairQueueSettings;
use pomeloramp_lib::QueueAction;
use pomeloramp_lib::QueuedRequest;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RequestNumber;
use pomeloramp_lib::SlotAccount;
use pomeloramp_lib::StartedRequest;
use pomeloramp_lib::protos::template::OrganisationParameters;
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

const ORGANISATIONS: usize = 5;
const MAX_QUEUED: usize = 6;

#[derive(Clone, Debug)]
enum Event {
    Offer {
        organisation: usize,
        expected_run_ms: u64,
        deadline_in_ms: u64,
    },
    Finish(prop::sample::Index),
    Cancel(prop::sample::Index),
    SetParameters(Vec<(bool, u32, u32, u32, u32)>),
    SetCapacity(u32),
    Drain,
    Advance,
}

#[derive(Clone, Debug)]
struct Step {
    after_ms: u64,
    event: Event,
}

fn parameters_strategy() -> impl Strategy<Value = Vec<(bool, u32, u32, u32, u32)>> {
    let one = (any::<bool>(), 0_u32..6, 0_u32..10, 0_u32..4, 0_u32..4);
    prop::collection::vec(one, ORGANISATIONS)
}

/// Generates the events; [`Observer`] applies them to the queue and checks the results.
struct Events;

impl ReferenceStateMachine for Events {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let offer = (0..=ORGANISATIONS, 0_u64..200, 0_u64..1_500).prop_map(
            |(organisation, expected_run_ms, deadline_in_ms)| Event::Offer {
                organisation,
                expected_run_ms,
                deadline_in_ms,
            },
        );
        let event = prop_oneof![
            60 => offer,
            40 => any::<prop::sample::Index>().prop_map(Event::Finish),
            6 => any::<prop::sample::Index>().prop_map(Event::Cancel),
            4 => parameters_strategy().prop_map(Event::SetParameters),
            3 => (0_u32..4).prop_map(Event::SetCapacity),
            1 => Just(Event::Drain),
            10 => Just(Event::Advance),
        ];
        (0_u64..60, event)
            .prop_map(|(after_ms, event)| Step { after_ms, event })
            .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Queue with a model of its requests, which fails when the queue breaks a rule.
struct Observer {
    queue: FairQueue,
    now_ms: u64,
    next_number: u64,
    capacity: usize,
    draining: bool,
    declared: BTreeMap<String, OrganisationParameters>,
    queued: BTreeMap<RequestNumber, QueuedRequest>,
    running: BTreeMap<RequestNumber, String>,
    /// Organisations that have been given a slot.
    served: BTreeSet<String>,
}

impl Observer {
    fn in_flight(&self, organisation: &str) -> usize {
        let queued = self.queued.values();
        queued.filter(|r| r.organisation == organisation).count()
            + self.running.values().filter(|o| *o == organisation).count()
    }

    fn offer(&mut self, organisation: usize, expected_run_ms: u64, deadline_in_ms: u64) {
        self.next_number += 1;
        let request = QueuedRequest {
            number: RequestNumber(self.next_number),
            organisation: format!("org-{organisation}"),
            deadline_ms: self.now_ms + deadline_in_ms,
            expected_run_ms,
        };
        let declared = self.declared.get(&request.organisation);
        let limit = declared.map_or(0, |p| p.max_in_flight as usize);
        let below_limit = self.in_flight(&request.organisation) < limit;
        let in_time = expected_run_ms <= deadline_in_ms;
        let starts_now = self.running.len() < self.capacity && self.queued.is_empty();
        let is_admissible = !self.draining && below_limit && in_time;
        match self.queue.offer(request.clone(), self.now_ms) {
            Admission::Start(started) => {
                assert!(is_admissible && starts_now);
                self.queued.insert(request.number, request);
                self.start(&started);
            }
            Admission::Queued { displaced, .. } => {
                assert!(is_admissible && !starts_now);
                if let Some(number) = displaced {
                    assert_eq!(self.queued.len(), MAX_QUEUED);
                    self.check_displaced(number, &request.organisation);
                }
                self.queued.insert(request.number, request);
            }
            Admission::Refused { code, .. } => match code {
                RefusalCode::Draining => assert!(self.draining),
                RefusalCode::UnknownOrganisation => assert!(declared.is_none()),
                RefusalCode::OrganisationLimit => assert!(!below_limit),
                RefusalCode::QueueFull => assert_eq!(self.queued.len(), MAX_QUEUED),
                RefusalCode::DeadlineUnreachable => assert!(!in_time || !starts_now),
                RefusalCode::DuplicateRequest => panic!("number {} is unused", self.next_number),
                code => panic!("unexpected refusal code {code:?}"),
            },
        }
    }

    fn check_displaced(&mut self, number: RequestNumber, arriving: &str) {
        let displaced = self.queued.remove(&number).expect("the request was queued");
        let length = |name: &str| {
            let queued = self.queued.values();
            queued.filter(|r| r.organisation == name).count()
        };
        assert!(length(&displaced.organisation) > length(arriving));
    }

    fn start(&mut self, started: &StartedRequest) {
        assert!(self.running.len() < self.capacity);
        let request = self
            .queued
            .remove(&started.number)
            .expect("the request was queued");
        assert_eq!(request.organisation, started.organisation);
        assert!(
            request
                .latest_start_ms()
                .expect("the deadline is reachable")
                >= self.now_ms
        );
        let mut others = self.queued.iter();
        assert!(
            !others.any(|(n, r)| *n < started.number && r.organisation == started.organisation)
        );
        if started.account == SlotAccount::Borrowed {
            let owners = self.queued.values().map(|r| &r.organisation);
            for owner in owners.filter(|owner| !self.served.contains(*owner)) {
                let weight = self.declared.get(owner).map_or(0, |p| p.share_weight);
                assert_eq!(
                    weight, 0,
                    "{owner} is within its share and has a queued request"
                );
            }
        } else {
            let weight = self.declared.get(&started.organisation);
            assert!(weight.is_some_and(|p| p.share_weight > 0));
        }
        self.served.insert(started.organisation.clone());
        self.running
            .insert(started.number, started.organisation.clone());
    }

    fn apply_next(&mut self) {
        for action in self.queue.next(self.now_ms) {
            match action {
                QueueAction::Start(started) => self.start(&started),
                QueueAction::Expired { number, .. } => {
                    let expired = self.queued.remove(&number).expect("the request was queued");
                    assert!(
                        expired
                            .latest_start_ms()
                            .expect("the deadline is reachable")
                            < self.now_ms
                    );
                }
            }
        }
        let is_full = self.running.len() >= self.capacity;
        assert!(
            is_full || self.queued.is_empty(),
            "a slot is free although a request is queued"
        );
        let in_time = |r: &QueuedRequest| r.latest_start_ms() >= Some(self.now_ms);
        assert!(self.queued.values().all(in_time));
    }

    fn cancel(&mut self, index: prop::sample::Index) {
        let queued = self.queued.keys();
        let known: Vec<_> = queued.chain(self.running.keys()).copied().collect();
        if known.is_empty() {
            return;
        }
        let number = *index.get(&known);
        assert!(self.queue.cancel(number, self.now_ms));
        self.queued.remove(&number);
        self.running.remove(&number);
    }

    fn finish(&mut self, index: prop::sample::Index) {
        let known: Vec<_> = self.running.keys().copied().collect();
        if known.is_empty() {
            return;
        }
        let number = *index.get(&known);
        assert!(self.queue.finish(number, self.now_ms));
        assert!(!self.queue.finish(number, self.now_ms));
        self.running.remove(&number);
    }

    fn set_parameters(&mut self, drawn: &[(bool, u32, u32, u32, u32)]) {
        let parameters: Vec<_> = (0..)
            .zip(drawn)
            .filter(|(_, (is_declared, ..))| *is_declared)
            .map(
                |(n, (_, max_in_flight, urgency, share_weight, idle_weight))| {
                    OrganisationParameters {
                        organisation: format!("org-{n}"),
                        credential_sha256: String::new(),
                        max_in_flight: *max_in_flight,
                        urgency: *urgency,
                        share_weight: *share_weight,
                        idle_weight: *idle_weight,
                    }
                },
            )
            .collect();
        self.queue.set_parameters(&parameters, self.now_ms);
        let named = parameters
            .iter()
            .map(|p| (p.organisation.clone(), p.clone()));
        self.declared = named.collect();
    }
}

impl StateMachineTest for Observer {
    type SystemUnderTest = Self;
    type Reference = Events;

    fn init_test((): &()) -> Self {
        let settings = FairQueueSettings::builder()
            .capacity(2)
            .max_queued_requests(u32::try_from(MAX_QUEUED).unwrap())
            .build();
        let mut observer = Self {
            queue: FairQueue::new(settings),
            now_ms: 0,
            next_number: 0,
            capacity: 2,
            draining: false,
            declared: BTreeMap::new(),
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
            served: BTreeSet::new(),
        };
        observer.set_parameters(&[(true, 4, 0, 1, 1), (true, 4, 9, 1, 1), (true, 9, 0, 0, 2)]);
        observer
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        state.now_ms += step.after_ms;
        match step.event {
            Event::Offer {
                organisation,
                expected_run_ms,
                deadline_in_ms,
            } => state.offer(organisation, expected_run_ms, deadline_in_ms),
            Event::Finish(index) => state.finish(index),
            Event::Cancel(index) => state.cancel(index),
            Event::SetParameters(drawn) => state.set_parameters(&drawn),
            Event::SetCapacity(capacity) => {
                state.queue.set_capacity(capacity, state.now_ms);
                state.capacity = capacity as usize;
            }
            Event::Drain => {
                state.queue.drain();
                state.draining = true;
            }
            Event::Advance => {}
        }
        state.apply_next();
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        assert_eq!(state.queue.running_requests(), state.running.len());
        assert_eq!(state.queue.queued_requests(), state.queued.len());
        assert!(state.queued.len() <= MAX_QUEUED);
        let is_empty = state.queued.is_empty() && state.running.is_empty();
        assert_eq!(state.queue.is_drained(), state.draining && is_empty);
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn queue_agrees_with_the_model(sequential 1..120 => Observer);
}
