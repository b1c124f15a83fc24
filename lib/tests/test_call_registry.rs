//! Property tests of the call registry: its decisions are checked against the history of all earlier
//! decisions and of the runs at the endpoint.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use googletest::prelude::*;
use pomeloramp_lib::AttemptNumber;
use pomeloramp_lib::CallAttempt;
use pomeloramp_lib::CallDecision;
use pomeloramp_lib::CallKey;
use pomeloramp_lib::CallRegistry;
use pomeloramp_lib::CallRegistrySettings;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::Outcome;
use pomeloramp_lib::Refusal;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::StoredAnswer;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const OWN_INCARNATION: Incarnation = Incarnation(7);
const OTHER_INCARNATION: Incarnation = Incarnation(8);
const WINDOW_MS: u64 = 200;
const STAMP_STEP_MS: u64 = 50;
const MAX_RECORDS: usize = 4;
const MAX_VOIDS: usize = 3;
const MAX_ANSWER_BYTES: u64 = 100;
const UNREACHED_MAX_DIGESTS: usize = 100_000;

fn settings(max_digests: usize, digest_horizon_ms: u64) -> CallRegistrySettings {
    CallRegistrySettings::builder()
        .max_records(MAX_RECORDS)
        .max_records_per_organisation(MAX_RECORDS)
        .max_voids(MAX_VOIDS)
        .max_answer_bytes(MAX_ANSWER_BYTES)
        .max_answer_bytes_per_organisation(MAX_ANSWER_BYTES)
        .answer_window_ms(WINDOW_MS)
        .digest_horizon_ms(digest_horizon_ms)
        .max_digests(max_digests)
        .retry_after_ms(10)
        .build()
}

fn call(id: u8) -> CallKey {
    CallKey::new(&format!("org-{}", id % 2), &format!("key-{}", id / 2))
}

fn answer(text: &str) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "a/b".into(),
        body: Bytes::copy_from_slice(text.as_bytes()),
    }
}

fn attempt(id: u8, stamp_ms: u64, attempt: AttemptNumber) -> CallAttempt {
    CallAttempt {
        call: call(id),
        body_digest: 0,
        incarnation: OWN_INCARNATION,
        stamp_ms,
        attempt,
    }
}

#[derive(Debug, Clone)]
enum Transition {
    Send {
        call_id: u8,
        body: u64,
        age_ms: u64,
        first: bool,
        other_incarnation: bool,
        refuse: bool,
    },
    Finish {
        call_id: u8,
        answer_bytes: usize,
    },
    Lose {
        call_id: u8,
    },
    NotStarted {
        call_id: u8,
    },
    Advance {
        elapsed_ms: u64,
    },
}

/// Whether the registry has room and time for only a few digests. Transitions do not depend on it.
#[derive(Debug, Clone)]
struct Scenario {
    drops_digests: bool,
}

impl ReferenceStateMachine for Scenario {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        any::<bool>()
            .prop_map(|drops_digests| Self { drops_digests })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let call_id = 0..8_u8;
        let send = (
            call_id.clone(),
            prop_oneof![9 => Just(2_u64), 1 => Just(4)],
            prop_oneof![6 => 0..60_u64, 2 => 60..210_u64, 2 => 150..1500_u64],
            any::<bool>(),
            prop::bool::weighted(0.05),
            prop::bool::weighted(0.2),
        );
        prop_oneof![
            8 => send.prop_map(|(call_id, body, age_ms, first, other_incarnation, refuse)| {
                Transition::Send { call_id, body, age_ms, first, other_incarnation, refuse }
            }),
            3 => (call_id.clone(), 0..60_usize).prop_map(|(call_id, answer_bytes)| {
                Transition::Finish { call_id, answer_bytes }
            }),
            1 => call_id.clone().prop_map(|call_id| Transition::Lose { call_id }),
            1 => call_id.prop_map(|call_id| Transition::NotStarted { call_id }),
            4 => (1..80_u64).prop_map(|elapsed_ms| Transition::Advance { elapsed_ms }),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Transition) -> Self {
        state
    }
}

/// One run of a call at the endpoint.
#[derive(Debug, Clone)]
struct Run {
    stamp_ms: u64,
    body: u64,
    end: Option<RunEnd>,
}

#[derive(Debug, Clone, PartialEq)]
enum RunEnd {
    Answered(StoredAnswer),
    Lost,
    NotStarted,
}

struct History {
    registry: CallRegistry,
    drops_digests: bool,
    now_ms: u64,
    sent: HashSet<(u8, u64)>,
    runs: HashMap<u8, Vec<Run>>,
    /// Latest timestamp up to which placements must not run the call any more, by call.
    settled_ms: HashMap<u8, u64>,
}

impl History {
    fn settle(&mut self, call_id: u8, stamp_ms: u64) {
        let settled_ms = self.settled_ms.entry(call_id).or_default();
        *settled_ms = (*settled_ms).max(stamp_ms);
    }

    fn running(&mut self, call_id: u8) -> Option<&mut Run> {
        let last = self.runs.get_mut(&call_id)?.last_mut()?;
        last.end.is_none().then_some(last)
    }

    fn executions(&self, call_id: u8) -> impl Iterator<Item = &Run> {
        self.runs
            .get(&call_id)
            .into_iter()
            .flatten()
            .filter(|run| run.end != Some(RunEnd::NotStarted))
    }

    fn send(&mut self, call_id: u8, sent: &CallAttempt, refuse: bool) {
        let occupancy = self.registry.occupancy();
        let now_ms = self.now_ms;
        let decision = if refuse {
            let code = RefusalCode::QueueFull;
            self.registry.refuse(sent, code, 10, now_ms)
        } else {
            self.registry.admit(sent, now_ms)
        };
        let decision = OwnedDecision::from(decision);
        let is_new = !self.runs.contains_key(&call_id) && !self.settled_ms.contains_key(&call_id);
        let has_room = occupancy.records < MAX_RECORDS
            && occupancy.answer_bytes < MAX_ANSWER_BYTES
            && occupancy
                .void_floor_ms
                .is_none_or(|floor_ms| floor_ms < sent.stamp_ms);
        let has_own_incarnation = sent.incarnation == OWN_INCARNATION;
        if is_new
            && has_room
            && has_own_incarnation
            && !refuse
            && !self.drops_digests
            && sent.stamp_ms == now_ms
        {
            assert_eq!(decision, OwnedDecision::Run, "a new call must run");
        }
        self.check(call_id, sent, refuse, &decision);
    }

    fn check(&mut self, call_id: u8, sent: &CallAttempt, refuse: bool, decision: &OwnedDecision) {
        let stamp_ms = sent.stamp_ms;
        let body = sent.body_digest;
        if sent.incarnation != OWN_INCARNATION {
            let code = RefusalCode::HomeRestarted;
            assert!(matches!(decision, OwnedDecision::Refused(refusal) if refusal.code == code));
            return;
        }
        match decision {
            OwnedDecision::Run => {
                assert!(!refuse);
                let settled_ms = self.settled_ms.get(&call_id);
                assert!(
                    settled_ms.is_none_or(|settled_ms| stamp_ms > *settled_ms),
                    "call {call_id} ran at timestamp {stamp_ms}, settled up to {settled_ms:?}"
                );
                assert!(self.running(call_id).is_none(), "two runs at once");
                let run = Run {
                    stamp_ms,
                    body,
                    end: None,
                };
                self.runs.entry(call_id).or_default().push(run);
            }
            OwnedDecision::Attach => {
                let run = self.running(call_id).expect("attached to a running call");
                assert_eq!(run.body, body);
            }
            OwnedDecision::Replay(answer) => {
                let end = Some(RunEnd::Answered(answer.clone()));
                let run = self.executions(call_id).last().expect("replayed call ran");
                assert_eq!((run.body, &run.end), (body, &end));
            }
            OwnedDecision::AnswerGone => {
                let ran = self
                    .executions(call_id)
                    .any(|run| run.body == body && matches!(run.end, Some(RunEnd::Answered(_))));
                assert!(ran, "call {call_id} was answered as run but did not run");
            }
            OwnedDecision::Refused(refusal) => self.check_refusal(call_id, sent, refusal),
        }
        if stamp_ms <= self.now_ms {
            self.settle(call_id, stamp_ms);
        }
    }

    fn check_refusal(&self, call_id: u8, sent: &CallAttempt, refusal: &Refusal) {
        let code = refusal.code;
        match refusal.outcome {
            Outcome::NotRun => {
                let ran = self
                    .executions(call_id)
                    .any(|run| run.stamp_ms == sent.stamp_ms && run.body == sent.body_digest);
                assert!(
                    !ran,
                    "call {call_id} ran at timestamp {} but was answered as not run: {code:?}",
                    sent.stamp_ms
                );
            }
            Outcome::Unknown if code == RefusalCode::EndpointLost => {
                let lost = self
                    .executions(call_id)
                    .any(|run| run.end == Some(RunEnd::Lost));
                assert!(lost, "call {call_id} was answered as lost but was not lost");
            }
            Outcome::Unknown => assert!(
                self.drops_digests,
                "outcome unknown although no digest was dropped: {code:?}"
            ),
            Outcome::Ran => panic!("refused with the outcome ran"),
        }
    }
}

/// A copy of a decision that does not borrow from the registry.
#[derive(Debug, Clone, PartialEq)]
enum OwnedDecision {
    Run,
    Attach,
    Replay(StoredAnswer),
    AnswerGone,
    Refused(Refusal),
}

impl From<CallDecision<'_>> for OwnedDecision {
    fn from(decision: CallDecision<'_>) -> Self {
        match decision {
            CallDecision::Run => Self::Run,
            CallDecision::Attach => Self::Attach,
            CallDecision::Replay(answer) => Self::Replay(answer.clone()),
            CallDecision::AnswerGone => Self::AnswerGone,
            CallDecision::Refused(refusal) => Self::Refused(refusal),
        }
    }
}

impl StateMachineTest for History {
    type SystemUnderTest = Self;
    type Reference = Scenario;

    fn init_test(scenario: &Scenario) -> Self {
        let settings = if scenario.drops_digests {
            settings(4, 400)
        } else {
            settings(UNREACHED_MAX_DIGESTS, u64::MAX / 4)
        };
        Self {
            registry: CallRegistry::new(settings, OWN_INCARNATION),
            drops_digests: scenario.drops_digests,
            now_ms: 1_000,
            sent: HashSet::new(),
            runs: HashMap::new(),
            settled_ms: HashMap::new(),
        }
    }

    fn apply(mut history: Self, _: &Scenario, transition: Transition) -> Self {
        match transition {
            Transition::Send {
                call_id,
                body,
                age_ms,
                first,
                other_incarnation,
                refuse,
            } => {
                let stamp_ms =
                    (history.now_ms - age_ms.min(history.now_ms)) / STAMP_STEP_MS * STAMP_STEP_MS;
                let is_first_send = history.sent.insert((call_id, stamp_ms));
                let number = if first && is_first_send {
                    AttemptNumber::FIRST
                } else {
                    AttemptNumber::UNMARKED
                };
                let sent = CallAttempt {
                    body_digest: body,
                    incarnation: if other_incarnation {
                        OTHER_INCARNATION
                    } else {
                        OWN_INCARNATION
                    },
                    ..attempt(call_id, stamp_ms, number)
                };
                history.send(call_id, &sent, refuse);
            }
            Transition::Finish {
                call_id,
                answer_bytes,
            } => {
                let now_ms = history.now_ms;
                if let Some(run) = history.running(call_id) {
                    let answer = answer(&format!("{now_ms:x<answer_bytes$}"));
                    run.end = Some(RunEnd::Answered(answer.clone()));
                    history.registry.finish(&call(call_id), answer, now_ms);
                }
            }
            Transition::Lose { call_id } => {
                let now_ms = history.now_ms;
                if let Some(run) = history.running(call_id) {
                    run.end = Some(RunEnd::Lost);
                    history.registry.record_lost(&call(call_id), now_ms);
                }
            }
            Transition::NotStarted { call_id } => {
                if let Some(run) = history.running(call_id) {
                    run.end = Some(RunEnd::NotStarted);
                    history.registry.not_started(&call(call_id));
                }
            }
            Transition::Advance { elapsed_ms } => {
                history.now_ms += elapsed_ms;
                history.registry.expire(history.now_ms);
            }
        }
        history
    }

    fn check_invariants(history: &Self, _: &Scenario) {
        let occupancy = history.registry.occupancy();
        assert!(occupancy.records <= MAX_RECORDS);
        assert!(occupancy.voids <= MAX_VOIDS);
        assert!(occupancy.answer_bytes <= MAX_ANSWER_BYTES);
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 400, ..Config::default() })]
    #[test]
    fn decisions_never_contradict_earlier_decisions(sequential 1..120 => History);
}

#[googletest::test]
fn resends_get_the_stored_answer_until_the_window_ends() {
    let mut registry = CallRegistry::new(settings(UNREACHED_MAX_DIGESTS, 10_000), OWN_INCARNATION);
    let first = attempt(0, 0, AttemptNumber::FIRST);
    let resend = attempt(0, 0, AttemptNumber::FIRST.next());
    assert_that!(registry.admit(&first, 10), eq(&CallDecision::Run));
    assert_that!(registry.admit(&resend, 20), eq(&CallDecision::Attach));
    let stored = answer("booked");
    expect_true!(registry.finish(&call(0), stored.clone(), 30));
    let replay = CallDecision::Replay(&stored);
    expect_that!(registry.admit(&resend, 30 + WINDOW_MS), eq(&replay));
    let answer_gone = CallDecision::AnswerGone;
    expect_that!(registry.admit(&resend, 31 + WINDOW_MS), eq(&answer_gone));
    expect_that!(registry.occupancy().answer_bytes, eq(0));
}

#[googletest::test]
fn a_full_registry_refuses_new_calls_and_keeps_live_records() {
    let mut registry = CallRegistry::new(settings(UNREACHED_MAX_DIGESTS, 10_000), OWN_INCARNATION);
    for id in 0..4 {
        let sent = attempt(id, 0, AttemptNumber::FIRST);
        assert_that!(registry.admit(&sent, 10), eq(&CallDecision::Run));
    }
    let fifth = attempt(4, 0, AttemptNumber::FIRST);
    let refusal = Refusal::not_run(RefusalCode::RecordsFull, 10);
    let refused = CallDecision::Refused(refusal);
    expect_that!(registry.admit(&fifth, 10), eq(&refused));
    for id in 0..4 {
        let resend = attempt(id, 0, AttemptNumber::UNMARKED);
        expect_that!(registry.admit(&resend, 10_000), eq(&CallDecision::Attach));
    }
}

#[googletest::test]
fn another_body_under_a_used_key_is_refused_and_does_not_affect_the_call() {
    let mut registry = CallRegistry::new(settings(UNREACHED_MAX_DIGESTS, 10_000), OWN_INCARNATION);
    let sent = attempt(0, 0, AttemptNumber::FIRST);
    assert_that!(registry.admit(&sent, 10), eq(&CallDecision::Run));
    let reused = CallAttempt {
        body_digest: 99,
        ..sent.clone()
    };
    let decision = registry.admit(&reused, 10);
    let CallDecision::Refused(refusal) = decision else {
        panic!("{decision:?} instead of a refusal");
    };
    expect_that!(refusal.code, eq(RefusalCode::KeyReused));
    expect_that!(refusal.outcome, eq(Outcome::NotRun));
    expect_that!(registry.admit(&sent, 10), eq(&CallDecision::Attach));
}

#[googletest::test]
fn attempt_headers_are_read_strictly() {
    expect_that!(
        AttemptNumber::from_header(None),
        ok(eq(&AttemptNumber::UNMARKED))
    );
    expect_that!(
        AttemptNumber::from_header(Some("1")),
        ok(eq(&AttemptNumber::FIRST))
    );
    for malformed in ["", "0", "-1", "1.0", "first", "4294967296"] {
        expect_that!(AttemptNumber::from_header(Some(malformed)), err(anything()));
    }
}
