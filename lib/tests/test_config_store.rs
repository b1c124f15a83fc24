//! Fuzzes several processes that read a possibly stale configuration service, exchange values and
//! restart: no revision in force decreases, and all copies converge.

use std::collections::BTreeMap;
use std::collections::HashMap;

use googletest::prelude::*;
use pomeloramp_lib::ConfigOfferResult;
use pomeloramp_lib::ConfigStartupGate;
use pomeloramp_lib::ConfigStore;
use pomeloramp_lib::StartupDecision;
use pomeloramp_lib::protos::control::ConfigValue;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const PROCESSES: usize = 4;
const SERVICES: [&str; 2] = ["draft", "commit"];
const START_DEADLINE_MS: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Content {
    Valid,
    Invalid,
    Removal,
}

#[derive(Debug, Clone)]
enum Transition {
    Publish {
        service: usize,
        content: Content,
    },
    /// A process reads the service as it was before the last `staleness` publications.
    Read {
        process: usize,
        staleness: usize,
    },
    /// A process requests the values it lacks from a peer; the answer is in flight.
    Request {
        process: usize,
        peer: usize,
    },
    Deliver {
        index: usize,
    },
    Lose {
        index: usize,
    },
    Restart {
        process: usize,
    },
    Advance {
        elapsed_ms: u64,
    },
}

#[derive(Debug, Clone)]
struct StatelessReference;

impl ReferenceStateMachine for StatelessReference {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let content = prop_oneof![
            4 => Just(Content::Valid),
            2 => Just(Content::Invalid),
            1 => Just(Content::Removal),
        ];
        let process = 0..PROCESSES;
        let index = 0..32_usize;
        prop_oneof![
            3 => (0..SERVICES.len(), content)
                .prop_map(|(service, content)| Transition::Publish { service, content }),
            5 => (process.clone(), 0..6_usize)
                .prop_map(|(process, staleness)| Transition::Read { process, staleness }),
            8 => (process.clone(), process.clone())
                .prop_map(|(process, peer)| Transition::Request { process, peer }),
            8 => index.clone().prop_map(|index| Transition::Deliver { index }),
            1 => index.prop_map(|index| Transition::Lose { index }),
            2 => process.prop_map(|process| Transition::Restart { process }),
            2 => (1..60_u64).prop_map(|elapsed_ms| Transition::Advance { elapsed_ms }),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Transition) -> Self {
        state
    }
}

/// Answer of a peer to one incarnation of a process.
struct Answer {
    process: usize,
    incarnation: u64,
    peer: usize,
    /// Whether the peer was serving.
    is_serving: bool,
    /// Revisions that the peer had in force.
    in_force: BTreeMap<String, u64>,
    values: Vec<ConfigValue>,
}

struct Process {
    incarnation: u64,
    store: ConfigStore,
    /// `None` once the process serves.
    gate: Option<ConfigStartupGate>,
    /// Revisions that peers had in force when they answered this incarnation.
    reported: BTreeMap<String, u64>,
    /// Lowest revisions that the other processes had in force when this incarnation started, if all
    /// of them were serving; cleared when another process restarts and loses its copy.
    min_revisions: BTreeMap<String, u64>,
    /// Revisions offered to this incarnation by key, and whether each was valid.
    offered: HashMap<String, Vec<(u64, bool)>>,
    in_force: BTreeMap<String, u64>,
}

struct Fleet {
    now_ms: u64,
    incarnations: u64,
    published: Vec<ConfigValue>,
    processes: Vec<Process>,
    answers: Vec<Answer>,
}

fn key(service: usize) -> String {
    format!("services/{}", SERVICES[service])
}

fn document(service: usize, content: Content) -> Vec<u8> {
    let name = SERVICES[service];
    match content {
        Content::Valid => format!("service: {name}\nkind: plain\ndeadline_ms: 5\n").into_bytes(),
        Content::Invalid => format!("service: {name}\nkind: no\ndeadline_ms: 5\n").into_bytes(),
        Content::Removal => Vec::new(),
    }
}

fn is_valid(value: &ConfigValue) -> bool {
    !value.value.windows(8).any(|window| window == b"kind: no")
}

fn in_force(store: &ConfigStore) -> BTreeMap<String, u64> {
    let documents = store.documents().into_iter();
    documents
        .map(|document| (document.key, document.revision))
        .collect()
}

impl Process {
    fn new(incarnation: u64, now_ms: u64, own: usize) -> Self {
        let mut gate = ConfigStartupGate::new(now_ms + START_DEADLINE_MS);
        for peer in (0..PROCESSES).filter(|peer| *peer != own) {
            gate.expect_peer(&peer.to_string());
        }
        Self {
            incarnation,
            store: ConfigStore::new(),
            gate: Some(gate),
            reported: BTreeMap::new(),
            min_revisions: BTreeMap::new(),
            offered: HashMap::new(),
            in_force: BTreeMap::new(),
        }
    }

    fn offer(&mut self, value: &ConfigValue) {
        let offered = self.offered.entry(value.key.clone()).or_default();
        offered.push((value.revision, is_valid(value)));
        let result = self.store.offer(value);
        assert_ne!(result, ConfigOfferResult::Conflict);
    }

    /// Starts to serve if the gate allows it. It must then have every revision that a peer had in
    /// force when it answered.
    fn try_to_serve(&mut self, now_ms: u64) {
        let decision = self.gate.as_ref().map(|gate| gate.decide(now_ms));
        if decision != Some(StartupDecision::Serve) {
            return;
        }
        self.gate = None;
        for (key, reported) in self.reported.iter().chain(&self.min_revisions) {
            let revision = self.in_force.get(key).copied().unwrap_or(0);
            assert!(
                revision >= *reported,
                "serves {key} at {revision}, a peer had {reported}"
            );
        }
    }

    fn check(&mut self) {
        let in_force = in_force(&self.store);
        for (key, before) in &self.in_force {
            let after = in_force.get(key).copied().unwrap_or(0);
            assert!(after >= *before, "{key} went from {before} back to {after}");
        }
        for (key, offered) in &self.offered {
            let valid = offered.iter().filter(|(_, valid)| *valid);
            let expected = valid.map(|(revision, _)| *revision).max();
            assert_eq!(in_force.get(key).copied(), expected, "latest valid {key}");
            let invalid = offered.iter().filter(|(_, valid)| !valid);
            let refused = invalid.map(|(revision, _)| *revision).max();
            let refused = refused.filter(|refused| Some(*refused) > expected);
            let documents = self.store.refused_documents();
            let found = documents.iter().find(|document| document.key == *key);
            assert_eq!(found.map(|document| document.revision), refused);
        }
        self.in_force = in_force;
    }
}

impl Fleet {
    fn read(&mut self, process: usize, staleness: usize) {
        let visible = self.published.len().saturating_sub(staleness);
        let latest: BTreeMap<_, _> = self.published[..visible]
            .iter()
            .map(|value| (value.key.clone(), value.clone()))
            .collect();
        for value in latest.values() {
            self.processes[process].offer(value);
        }
        if let Some(gate) = &mut self.processes[process].gate {
            gate.service_answered();
        }
    }

    fn request(&mut self, process: usize, peer: usize) {
        if process == peer {
            return;
        }
        let requester = &self.processes[process];
        let peer_process = &self.processes[peer];
        self.answers.push(Answer {
            process,
            incarnation: requester.incarnation,
            peer,
            is_serving: peer_process.gate.is_none(),
            in_force: in_force(&peer_process.store),
            values: peer_process
                .store
                .newer_than(&requester.store.held_revisions()),
        });
    }

    fn deliver(&mut self, index: usize) {
        if self.answers.is_empty() {
            return;
        }
        let index = index % self.answers.len();
        let answer = self.answers.swap_remove(index);
        let process = &mut self.processes[answer.process];
        if process.incarnation != answer.incarnation {
            return;
        }
        for value in &answer.values {
            process.offer(value);
        }
        let Some(gate) = &mut process.gate else {
            return;
        };
        let vm_name = answer.peer.to_string();
        if answer.is_serving {
            gate.peer_answered(&vm_name);
            for (key, revision) in answer.in_force {
                let reported = process.reported.entry(key).or_default();
                *reported = (*reported).max(revision);
            }
        } else {
            gate.peer_absent(&vm_name);
        }
    }

    fn restart(&mut self, process: usize) {
        self.incarnations += 1;
        for other in &mut self.processes {
            other.min_revisions.clear();
        }
        self.processes[process] = Process::new(self.incarnations, self.now_ms, process);
        let others = || {
            self.processes
                .iter()
                .filter(|other| other.incarnation != self.incarnations)
        };
        if others().any(|other| other.gate.is_some()) {
            return;
        }
        let min_revisions = (0..SERVICES.len()).map(key).map(|key| {
            let revisions = others().map(|other| other.in_force.get(&key).copied().unwrap_or(0));
            let min_revision = revisions.min().unwrap_or(0);
            (key, min_revision)
        });
        self.processes[process].min_revisions = min_revisions.collect();
    }

    fn exchange_all(&mut self) {
        for _ in 0..3 {
            for process in 0..PROCESSES {
                for peer in 0..PROCESSES {
                    self.request(process, peer);
                    self.deliver(self.answers.len().saturating_sub(1));
                }
            }
        }
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = StatelessReference;

    fn init_test(_: &StatelessReference) -> Self {
        Self {
            now_ms: 0,
            incarnations: PROCESSES as u64,
            published: Vec::new(),
            processes: (0..PROCESSES)
                .map(|process| Process::new(process as u64, 0, process))
                .collect(),
            answers: Vec::new(),
        }
    }

    fn apply(mut fleet: Self, _: &StatelessReference, transition: Transition) -> Self {
        match transition {
            Transition::Publish { service, content } => {
                let revision = fleet.published.len() as u64 + 1;
                let value = document(service, content);
                let key = key(service);
                fleet.published.push(ConfigValue {
                    key,
                    revision,
                    value,
                });
            }
            Transition::Read { process, staleness } => fleet.read(process, staleness),
            Transition::Request { process, peer } => fleet.request(process, peer),
            Transition::Deliver { index } => fleet.deliver(index),
            Transition::Lose { index } => {
                if !fleet.answers.is_empty() {
                    let index = index % fleet.answers.len();
                    fleet.answers.swap_remove(index);
                }
            }
            Transition::Restart { process } => {
                fleet.restart(process);
            }
            Transition::Advance { elapsed_ms } => fleet.now_ms += elapsed_ms,
        }
        for process in &mut fleet.processes {
            process.check();
            process.try_to_serve(fleet.now_ms);
        }
        fleet
    }

    fn teardown(mut fleet: Self, _: StatelessReference) {
        fleet.exchange_all();
        let stores = fleet.processes.iter().map(|process| &process.store);
        let copies: Vec<_> = stores
            .map(|store| {
                (
                    store.digest(),
                    store.held_revisions(),
                    store.refused_documents(),
                )
            })
            .collect();
        assert!(copies.iter().all(|copy| *copy == copies[0]), "{copies:?}");
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 300, ..Config::default() })]

    #[test]
    fn no_copy_goes_back_and_all_converge(sequential 1..150 => Fleet);
}

fn value(revision: u64, content: Content) -> ConfigValue {
    ConfigValue {
        key: key(0),
        revision,
        value: document(0, content),
    }
}

#[googletest::test]
fn an_invalid_document_leaves_the_last_good_one_in_force() {
    let mut store = ConfigStore::new();
    expect_that!(
        store.offer(&value(3, Content::Valid)),
        eq(ConfigOfferResult::InForce)
    );
    expect_that!(
        store.offer(&value(5, Content::Invalid)),
        eq(ConfigOfferResult::Refused)
    );
    expect_that!(store.template("draft"), some(anything()));
    expect_that!(store.revision(), eq(5));
    let refused = store.refused_documents();
    assert_that!(refused, len(eq(1)));
    let reason = r#"line 2 column 7: kind: "no" is none of ["model", "plain"]"#;
    expect_that!(refused[0].reason, eq(reason));
    expect_that!(
        store.offer(&value(4, Content::Valid)),
        eq(ConfigOfferResult::InForce)
    );
    expect_that!(store.refused_documents(), len(eq(1)));
    expect_that!(
        store.offer(&value(6, Content::Removal)),
        eq(ConfigOfferResult::InForce)
    );
    expect_that!(store.template("draft"), none());
    expect_that!(store.refused_documents(), is_empty());
    expect_that!(
        store.offer(&value(2, Content::Valid)),
        eq(ConfigOfferResult::Stale)
    );
}

#[googletest::test]
fn two_values_under_one_revision_are_a_conflict_and_the_first_stays() {
    let mut store = ConfigStore::new();
    store.offer(&value(3, Content::Valid));
    expect_that!(
        store.offer(&value(3, Content::Removal)),
        eq(ConfigOfferResult::Conflict)
    );
    expect_that!(store.template("draft"), some(anything()));
}

#[googletest::test]
fn a_copy_is_behind_while_another_process_has_a_later_revision() {
    let mut store = ConfigStore::new();
    store.offer(&value(3, Content::Valid));
    expect_false!(store.is_behind());
    store.record_known_revision(4);
    expect_true!(store.is_behind());
    store.offer(&value(4, Content::Valid));
    expect_false!(store.is_behind());
}

#[googletest::test]
fn a_process_that_reaches_no_peer_does_not_serve() {
    let mut gate = ConfigStartupGate::new(100);
    gate.expect_peer("a");
    gate.expect_peer("b");
    gate.service_answered();
    expect_that!(gate.decide(10_000), eq(StartupDecision::Wait));
    gate.peer_absent("a");
    expect_that!(gate.decide(10_000), eq(StartupDecision::Wait));
    gate.peer_answered("a");
    expect_that!(gate.decide(50), eq(StartupDecision::Wait));
    expect_that!(gate.decide(100), eq(StartupDecision::Serve));
    gate.peer_removed("b");
    expect_that!(gate.decide(50), eq(StartupDecision::Serve));
}
