//! Fuzzes the limits on call records and stored answers per organisation at an agent.

use std::collections::BTreeMap;

use bytes::Bytes;
use googletest::prelude::*;
use pomeloramp_lib::AttemptNumber;
use pomeloramp_lib::CallAttempt;
use pomeloramp_lib::CallDecision;
use pomeloramp_lib::CallKey;
use pomeloramp_lib::CallRegistry;
use pomeloramp_lib::CallRegistrySettings;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::StoredAnswer;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;

const OWN: Incarnation = Incarnation(7);
const WINDOW_MS: u64 = 1_000;
const MAX_RECORDS: usize = 6;
const MAX_OWN_RECORDS: usize = 3;
const MAX_ANSWER_BYTES: u64 = 60;
const MAX_OWN_ANSWER_BYTES: u64 = 30;

#[derive(Debug, Clone)]
enum Event {
    Send { organisation: u8 },
    Finish { index: usize, answer_bytes: u64 },
    NotStarted { index: usize },
    Lose { index: usize },
    Advance { elapsed_ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let index = any::<usize>();
    prop_oneof![
        5 => (0_u8..3).prop_map(|organisation| Event::Send { organisation }),
        3 => (index, 0_u64..25)
            .prop_map(|(index, answer_bytes)| Event::Finish { index, answer_bytes }),
        1 => any::<usize>().prop_map(|index| Event::NotStarted { index }),
        1 => any::<usize>().prop_map(|index| Event::Lose { index }),
        1 => (0_u64..700).prop_map(|elapsed_ms| Event::Advance { elapsed_ms }),
    ]
}

/// Model of one call record.
#[derive(Debug, Clone, Copy)]
struct ModelRecord {
    answer_bytes: u64,
    ended_ms: Option<u64>,
}

/// Records and answer bytes of a set of calls.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    records: usize,
    answer_bytes: u64,
}

/// Registry with a model of its records.
struct CheckedRegistry {
    registry: CallRegistry,
    records: BTreeMap<CallKey, ModelRecord>,
    calls: u64,
    now_ms: u64,
}

fn registry() -> CallRegistry {
    let settings = CallRegistrySettings::builder()
        .max_records(MAX_RECORDS)
        .max_records_per_organisation(MAX_OWN_RECORDS)
        .max_voids(1_000)
        .max_answer_bytes(MAX_ANSWER_BYTES)
        .max_answer_bytes_per_organisation(MAX_OWN_ANSWER_BYTES)
        .answer_window_ms(WINDOW_MS)
        .digest_horizon_ms(10 * WINDOW_MS)
        .max_digests(1_000)
        .retry_after_ms(10)
        .build();
    CallRegistry::new(settings, OWN)
}

fn answer(bytes: u64) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "".into(),
        body: Bytes::from(vec![b'x'; usize::try_from(bytes).unwrap()]),
    }
}

impl CheckedRegistry {
    fn new() -> Self {
        Self {
            registry: registry(),
            records: BTreeMap::new(),
            calls: 0,
            now_ms: 1,
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Send { organisation } => self.send(organisation),
            Event::Finish {
                index,
                answer_bytes,
            } => self.finish(index, answer_bytes),
            Event::NotStarted { index } => {
                if let Some(call) = self.running(index) {
                    self.registry.not_started(&call);
                    self.records.remove(&call);
                }
            }
            Event::Lose { index } => {
                if let Some(call) = self.running(index) {
                    self.registry.record_lost(&call, self.now_ms);
                    self.end(&call, 0);
                }
            }
            Event::Advance { elapsed_ms } => self.now_ms += elapsed_ms,
        }
    }

    fn send(&mut self, organisation: u8) {
        self.calls += 1;
        let organisation = format!("org-{organisation}");
        let call = CallKey::new(&organisation, &format!("key-{}", self.calls));
        let attempt = CallAttempt {
            call: call.clone(),
            body_digest: 1,
            incarnation: OWN,
            stamp_ms: self.now_ms,
            attempt: AttemptNumber::FIRST,
        };
        let now_ms = self.now_ms;
        let is_unexpired = |record: &ModelRecord| {
            record
                .ended_ms
                .is_none_or(|ended| ended + WINDOW_MS >= now_ms)
        };
        self.records.retain(|_, record| is_unexpired(record));
        let has_room = self.has_room(&organisation);
        match self.registry.admit(&attempt, now_ms) {
            CallDecision::Run => {
                assert!(has_room, "{organisation} has no room left");
                let record = ModelRecord {
                    answer_bytes: 0,
                    ended_ms: None,
                };
                self.records.insert(call, record);
            }
            CallDecision::Refused(refusal) => {
                assert_eq!(refusal.code, RefusalCode::RecordsFull);
                assert!(!has_room, "{organisation} has room left");
            }
            decision => panic!("{decision:?} for a new call"),
        }
    }

    fn has_room(&self, organisation: &str) -> bool {
        let all = self.usage(|_| true);
        let own = self.usage(|call| &*call.organisation == organisation);
        all.records < MAX_RECORDS
            && all.answer_bytes < MAX_ANSWER_BYTES
            && own.records < MAX_OWN_RECORDS
            && own.answer_bytes < MAX_OWN_ANSWER_BYTES
    }

    fn usage(&self, counts: impl Fn(&CallKey) -> bool) -> Usage {
        let counted = self.records.iter().filter(|(call, _)| counts(call));
        counted.fold(Usage::default(), |usage, (_, record)| Usage {
            records: usage.records + 1,
            answer_bytes: usage.answer_bytes + record.answer_bytes,
        })
    }

    fn finish(&mut self, index: usize, answer_bytes: u64) {
        let Some(call) = self.running(index) else {
            return;
        };
        let answer = answer(answer_bytes);
        let answer_bytes = answer.len_bytes();
        let is_stored = self.registry.finish(&call, answer, self.now_ms);
        self.end(&call, if is_stored { answer_bytes } else { 0 });
    }

    fn end(&mut self, call: &CallKey, answer_bytes: u64) {
        let record = ModelRecord {
            answer_bytes,
            ended_ms: Some(self.now_ms),
        };
        self.records.insert(call.clone(), record);
    }

    fn running(&self, index: usize) -> Option<CallKey> {
        let running = self
            .records
            .iter()
            .filter(|(_, record)| record.ended_ms.is_none());
        let running: Vec<_> = running.map(|(call, _)| call.clone()).collect();
        let index = index.checked_rem(running.len())?;
        Some(running[index].clone())
    }

    fn check(&self) {
        for organisation in 0..3 {
            let organisation = format!("org-{organisation}");
            let own = self.usage(|call| *call.organisation == *organisation);
            assert!(own.records <= MAX_OWN_RECORDS);
            assert!(own.answer_bytes <= MAX_OWN_ANSWER_BYTES);
        }
    }
}

proptest! {
    #![proptest_config(Config::with_cases(400))]

    #[test]
    fn a_call_is_refused_exactly_when_a_limit_is_reached(
        events in vec(event(), 1..150),
    ) {
        let mut checked = CheckedRegistry::new();
        for event in &events {
            checked.apply(event);
            checked.check();
        }
    }
}

#[googletest::test]
fn one_organisation_cannot_use_up_the_records_of_another() {
    let mut checked = CheckedRegistry::new();
    for _ in 0..2 * MAX_RECORDS {
        checked.send(0);
    }
    expect_that!(checked.records.len(), eq(MAX_OWN_RECORDS));
    checked.send(1);
    expect_that!(checked.records.len(), eq(MAX_OWN_RECORDS + 1));
}
