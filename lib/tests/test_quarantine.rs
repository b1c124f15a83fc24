//! Property tests of the quarantine: content that crashes endpoints is refused, and harmless content
//! that ran beside it in a batch is not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use googletest::prelude::*;
use pomeloramp_lib::ContentFingerprint;
use pomeloramp_lib::ContentStatus;
use pomeloramp_lib::EndpointRuns;
use pomeloramp_lib::Quarantine;
use pomeloramp_lib::QuarantineSettings;
use pomeloramp_lib::RequestNumber;
use pomeloramp_lib::StartPermit;
use pomeloramp_lib::protos::control::QuarantineEntry;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const AGENTS: usize = 3;
const CONTENTS: u64 = 6;
/// Contents with a lower fingerprint crash every endpoint that runs them.
const FIRST_HARMLESS_CONTENT: u64 = 2;
const SUSPICION_MS: u64 = 5_000;
const QUARANTINE_MS: u64 = 20_000;
const MARGIN_MS: u64 = 50;

fn quarantine(max_entries: usize) -> Quarantine {
    let settings = QuarantineSettings::builder()
        .max_entries(max_entries)
        .suspicion_ms(SUSPICION_MS)
        .quarantine_ms(QUARANTINE_MS)
        .transit_margin_ms(MARGIN_MS)
        .build();
    Quarantine::new(settings)
}

fn crashes_endpoints(content: ContentFingerprint) -> bool {
    content.0 < FIRST_HARMLESS_CONTENT
}

#[derive(Debug, Clone)]
enum Transition {
    Submit {
        agent: usize,
        content: u64,
    },
    /// A running request ends: harmless content completes, other content crashes the endpoint.
    Step {
        agent: usize,
        index: usize,
    },
    /// The endpoint fails for a reason unrelated to its requests.
    Fail {
        agent: usize,
    },
    Withdraw {
        agent: usize,
        index: usize,
    },
    Gossip {
        from: usize,
        to: usize,
    },
    Deliver {
        index: usize,
        keep: bool,
    },
    Lose {
        index: usize,
    },
    Restart {
        agent: usize,
    },
    Advance {
        elapsed_ms: u64,
    },
}

/// Whether endpoints also fail for reasons unrelated to their requests, and whether gossip reaches all
/// agents at once.
#[derive(Debug, Clone)]
struct Scenario {
    endpoints_fail: bool,
    instant_gossip: bool,
}

impl ReferenceStateMachine for Scenario {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        prop_oneof![
            Just((false, false)),
            Just((true, false)),
            Just((false, true))
        ]
        .prop_map(|(endpoints_fail, instant_gossip)| Self {
            endpoints_fail,
            instant_gossip,
        })
        .boxed()
    }

    fn transitions(scenario: &Self) -> BoxedStrategy<Transition> {
        let agent = 0..AGENTS;
        let index = 0..16_usize;
        let pair = (agent.clone(), index.clone());
        let ordinary = prop_oneof![
            8 => (agent.clone(), 0..CONTENTS)
                .prop_map(|(agent, content)| Transition::Submit { agent, content }),
            8 => pair.clone().prop_map(|(agent, index)| Transition::Step { agent, index }),
            1 => pair.prop_map(|(agent, index)| Transition::Withdraw { agent, index }),
            4 => (agent.clone(), agent.clone())
                .prop_map(|(from, to)| Transition::Gossip { from, to }),
            4 => (index.clone(), any::<bool>())
                .prop_map(|(index, keep)| Transition::Deliver { index, keep }),
        ];
        let restart = agent
            .clone()
            .prop_map(|agent| Transition::Restart { agent });
        let delays_and_restarts = prop_oneof![
            2 => index.prop_map(|index| Transition::Lose { index }),
            1 => restart,
            4 => (1..3_000_u64).prop_map(|elapsed_ms| Transition::Advance { elapsed_ms }),
        ];
        let fail = agent.prop_map(|agent| Transition::Fail { agent });
        match (scenario.instant_gossip, scenario.endpoints_fail) {
            (true, _) => ordinary.boxed(),
            (false, false) => prop_oneof![8 => ordinary, 1 => delays_and_restarts].boxed(),
            (false, true) => {
                prop_oneof![8 => ordinary, 1 => delays_and_restarts, 1 => fail].boxed()
            }
        }
    }

    fn apply(state: Self, _: &Transition) -> Self {
        state
    }
}

struct Agent {
    process_id: u64,
    quarantine: Quarantine,
    runs: EndpointRuns,
    running: BTreeMap<RequestNumber, ContentFingerprint>,
    waiting: Vec<(RequestNumber, ContentFingerprint)>,
}

impl Agent {
    fn new(process_id: u64) -> Self {
        Self {
            process_id,
            quarantine: quarantine(64),
            runs: EndpointRuns::new(),
            running: BTreeMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Starts the waiting requests that may start, in the order of arrival.
    fn start_waiting(&mut self, now_ms: u64) {
        let waiting = std::mem::take(&mut self.waiting);
        for (number, content) in waiting {
            let content_status = self.quarantine.content_status(content, now_ms);
            match self.runs.try_start(number, content, content_status) {
                StartPermit::Started => {
                    assert_ne!(content_status, ContentStatus::Quarantined);
                    self.running.insert(number, content);
                }
                StartPermit::Wait => self.waiting.push((number, content)),
                StartPermit::Refused => assert_eq!(content_status, ContentStatus::Quarantined),
            }
        }
    }

    fn crash(&mut self, now_ms: u64) {
        let mut crashed = self.runs.crashed();
        crashed.sort_unstable();
        let mut running: Vec<_> = std::mem::take(&mut self.running).into_values().collect();
        running.sort_unstable();
        assert_eq!(crashed, running);
        self.quarantine.record_crash(&crashed, now_ms);
    }

    fn has_request_for(&self, content: ContentFingerprint) -> bool {
        let is_waiting = self.waiting.iter().any(|(_, waiting)| *waiting == content);
        is_waiting || self.running.values().any(|running| *running == content)
    }
}

struct Gossip {
    from: (usize, u64),
    to: (usize, u64),
    version: u64,
    entries: Vec<QuarantineEntry>,
}

struct Fleet {
    scenario: Scenario,
    now_ms: u64,
    requests: u64,
    runs: u64,
    agents: Vec<Agent>,
    messages: Vec<Gossip>,
    /// Latest version of the first agent process that the second one has received.
    received_versions: HashMap<(u64, u64), u64>,
    crashes: HashMap<ContentFingerprint, u32>,
    /// Harmless contents that ran alone when an endpoint failed for an unrelated reason.
    alone_at_unrelated_failure: BTreeSet<ContentFingerprint>,
}

impl Fleet {
    fn submit(&mut self, agent: usize, content: u64) {
        let content = ContentFingerprint(content);
        let in_flight = self
            .agents
            .iter()
            .any(|agent| agent.has_request_for(content));
        if crashes_endpoints(content) && in_flight {
            return;
        }
        self.requests += 1;
        let number = RequestNumber(self.requests);
        self.agents[agent].waiting.push((number, content));
    }

    fn step(&mut self, agent: usize, index: usize) {
        let now_ms = self.now_ms;
        let agent = &mut self.agents[agent];
        let running = agent.running.iter().nth(index % agent.running.len().max(1));
        let Some((number, content)) = running.map(|(number, content)| (*number, *content)) else {
            return;
        };
        if crashes_endpoints(content) {
            *self.crashes.entry(content).or_default() += 1;
            agent.crash(now_ms);
            return;
        }
        agent.running.remove(&number);
        if let Some(alone) = agent.runs.ended(number) {
            assert_eq!(alone, content);
            assert!(agent.running.is_empty(), "{content:?} did not run alone");
            agent.quarantine.record_solo_success(content, now_ms);
        }
    }

    fn fail(&mut self, agent: usize) {
        let now_ms = self.now_ms;
        let agent = &mut self.agents[agent];
        let contents: BTreeSet<_> = agent.running.values().copied().collect();
        if contents.len() == 1 {
            self.alone_at_unrelated_failure.extend(contents);
        }
        agent.crash(now_ms);
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let (sender, receiver) = (&self.agents[from], &self.agents[to]);
        let received_version = self
            .received_versions
            .get(&(sender.process_id, receiver.process_id));
        let received_version = received_version.copied().unwrap_or(0);
        self.messages.push(Gossip {
            from: (from, sender.process_id),
            to: (to, receiver.process_id),
            version: sender.quarantine.version(),
            entries: sender
                .quarantine
                .changes_after(received_version, usize::MAX, self.now_ms)
                .0,
        });
    }

    fn deliver(&mut self, index: usize, keep: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let message = &self.messages[index];
        let agent = &mut self.agents[message.to.0];
        if agent.process_id == message.to.1 {
            agent.quarantine.merge(&message.entries, self.now_ms);
            let received_version = self
                .received_versions
                .entry((message.from.1, message.to.1))
                .or_default();
            *received_version = (*received_version).max(message.version);
        }
        if !keep {
            self.messages.swap_remove(index);
        }
    }

    fn gossip_to_all(&mut self) {
        for from in 0..AGENTS {
            for to in 0..AGENTS {
                self.gossip(from, to);
                self.deliver(self.messages.len() - 1, false);
            }
        }
    }

    fn check(&self) {
        for agent in &self.agents {
            for entry in agent.quarantine.quarantined(self.now_ms) {
                let content = ContentFingerprint(entry.fingerprint);
                let may_be_quarantined = crashes_endpoints(content)
                    || self.alone_at_unrelated_failure.contains(&content);
                assert!(may_be_quarantined, "harmless {content:?} is quarantined");
            }
        }
        if self.scenario.instant_gossip {
            let max_crashes = self.crashes.values().max().copied().unwrap_or(0);
            assert!(
                max_crashes <= 2,
                "one content crashed {max_crashes} endpoints"
            );
        }
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = Scenario;

    fn init_test(scenario: &Scenario) -> Self {
        Self {
            scenario: scenario.clone(),
            now_ms: 0,
            requests: 0,
            runs: AGENTS as u64,
            agents: (0..AGENTS as u64).map(Agent::new).collect(),
            messages: Vec::new(),
            received_versions: HashMap::new(),
            crashes: HashMap::new(),
            alone_at_unrelated_failure: BTreeSet::new(),
        }
    }

    fn apply(mut fleet: Self, _: &Scenario, transition: Transition) -> Self {
        match transition {
            Transition::Submit { agent, content } => fleet.submit(agent, content),
            Transition::Step { agent, index } => fleet.step(agent, index),
            Transition::Fail { agent } => fleet.fail(agent),
            Transition::Withdraw { agent, index } => {
                let agent = &mut fleet.agents[agent];
                if !agent.waiting.is_empty() {
                    let (number, _) = agent.waiting.remove(index % agent.waiting.len());
                    agent.runs.withdraw(number);
                }
            }
            Transition::Gossip { from, to } => fleet.gossip(from, to),
            Transition::Deliver { index, keep } => fleet.deliver(index, keep),
            Transition::Lose { index } => {
                if !fleet.messages.is_empty() {
                    let index = index % fleet.messages.len();
                    fleet.messages.swap_remove(index);
                }
            }
            Transition::Restart { agent } => {
                fleet.runs += 1;
                fleet.agents[agent] = Agent::new(fleet.runs);
            }
            Transition::Advance { elapsed_ms } => {
                fleet.now_ms += elapsed_ms;
                for agent in &mut fleet.agents {
                    agent.quarantine.expire(fleet.now_ms);
                }
            }
        }
        if fleet.scenario.instant_gossip {
            fleet.gossip_to_all();
        }
        for agent in &mut fleet.agents {
            agent.start_waiting(fleet.now_ms);
        }
        fleet
    }

    fn check_invariants(fleet: &Self, _: &Scenario) {
        fleet.check();
    }

    /// Checks that every waiting request is eventually started or refused.
    fn teardown(mut fleet: Self, _: Scenario) {
        for agent in 0..AGENTS {
            while !fleet.agents[agent].running.is_empty() {
                fleet.step(agent, 0);
                fleet.agents[agent].start_waiting(fleet.now_ms);
            }
            assert!(
                fleet.agents[agent].waiting.is_empty(),
                "a request is never started or refused"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 600, ..Config::default() })]

    #[test]
    fn crashing_content_is_refused_and_bystanders_are_not(sequential 1..120 => Fleet);
}

fn entries() -> impl Strategy<Value = Vec<QuarantineEntry>> {
    let entry = (0..4_u64, 0..3_u32, 0..3_u32, any::<bool>(), 0..30_000_u64);
    let entry = entry.prop_map(
        |(fingerprint, crashes, cleared, quarantined, expires_in_ms)| QuarantineEntry {
            fingerprint,
            crashes,
            cleared_crashes: cleared.min(crashes),
            quarantined,
            expires_in_ms,
        },
    );
    prop::collection::vec(entry, 0..6)
}

proptest! {
    #[test]
    fn merging_is_commutative_idempotent_and_monotone(
        first in entries(),
        second in entries(),
        third in entries(),
    ) {
        let merged = |parts: &[&[QuarantineEntry]]| {
            let mut quarantine = quarantine(64);
            for part in parts {
                quarantine.merge(part, 0);
            }
            let mut entries = quarantine.changes_after(0, usize::MAX, 0).0;
            entries.sort_unstable_by_key(|entry| entry.fingerprint);
            entries
        };
        let in_order = merged(&[&first, &second, &third]);
        prop_assert_eq!(&merged(&[&third, &second, &first]), &in_order);
        prop_assert_eq!(&merged(&[&second, &first, &third, &first, &second]), &in_order);
        let refused = |entries: &[QuarantineEntry]| -> BTreeSet<u64> {
            let quarantined = entries.iter().filter(|entry| entry.quarantined);
            quarantined.map(|entry| entry.fingerprint).collect()
        };
        let before = refused(&merged(&[&first]));
        prop_assert!(before.is_subset(&refused(&in_order)));
    }
}

#[googletest::test]
fn content_is_quarantined_at_the_second_crash_and_cleared_by_a_good_run_alone() {
    let [crashing, bystander] = [0, 9].map(ContentFingerprint);
    let mut quarantine = quarantine(8);
    quarantine.record_crash(&[crashing, bystander], 0);
    for content in [crashing, bystander] {
        let content_status = quarantine.content_status(content, 0);
        expect_that!(content_status, eq(ContentStatus::Suspect));
    }
    quarantine.record_solo_success(bystander, 1);
    quarantine.record_crash(&[crashing], 1);
    expect_that!(
        quarantine.content_status(bystander, 1),
        eq(ContentStatus::Clear)
    );
    expect_that!(
        quarantine.content_status(crashing, 1),
        eq(ContentStatus::Quarantined)
    );
    quarantine.record_crash(&[bystander], 2);
    expect_that!(
        quarantine.content_status(bystander, 2),
        eq(ContentStatus::Suspect)
    );
    let expired_ms = 1 + QUARANTINE_MS;
    expect_that!(
        quarantine.content_status(crashing, expired_ms),
        eq(ContentStatus::Clear)
    );
}

#[googletest::test]
fn a_suspect_runs_alone_and_later_requests_wait_for_its_end() {
    let [first, suspect_request, later] = [1, 2, 3].map(RequestNumber);
    let content = ContentFingerprint(5);
    let mut runs = EndpointRuns::new();
    let started = StartPermit::Started;
    expect_that!(
        runs.try_start(first, content, ContentStatus::Clear),
        eq(started)
    );
    expect_that!(
        runs.try_start(suspect_request, content, ContentStatus::Suspect),
        eq(StartPermit::Wait)
    );
    expect_that!(
        runs.try_start(later, content, ContentStatus::Clear),
        eq(StartPermit::Wait)
    );
    expect_that!(runs.ended(first), none());
    expect_that!(
        runs.try_start(later, content, ContentStatus::Clear),
        eq(StartPermit::Wait)
    );
    expect_that!(
        runs.try_start(suspect_request, content, ContentStatus::Suspect),
        eq(started)
    );
    expect_that!(
        runs.try_start(later, content, ContentStatus::Clear),
        eq(StartPermit::Wait)
    );
    expect_that!(runs.ended(suspect_request), some(eq(content)));
    expect_that!(
        runs.try_start(later, content, ContentStatus::Clear),
        eq(started)
    );
}

#[googletest::test]
fn entries_expire_although_processes_keep_relaying_them() {
    const DELAY_MS: u64 = 40;
    let content = ContentFingerprint(1);
    let mut processes = [quarantine(8), quarantine(8), quarantine(8)];
    processes[0].record_crash(&[content], 0);
    processes[0].record_crash(&[content], 0);
    let quarantined = ContentStatus::Quarantined;
    expect_that!(processes[0].content_status(content, 0), eq(quarantined));
    let mut now_ms = 0;
    let mut carrier = 0;
    while now_ms < QUARANTINE_MS {
        let changes = processes[carrier].changes_after(0, usize::MAX, now_ms).0;
        now_ms += DELAY_MS;
        carrier = (carrier + 1) % processes.len();
        processes[carrier].merge(&changes, now_ms);
    }
    for process in &processes {
        expect_that!(
            process.content_status(content, now_ms),
            eq(ContentStatus::Clear)
        );
    }
}

#[googletest::test]
fn entries_are_bounded_and_quarantined_contents_are_evicted_last() {
    let crashing = ContentFingerprint(1_000);
    let mut quarantine = quarantine(8);
    quarantine.record_crash(&[crashing], 0);
    quarantine.record_crash(&[crashing], 0);
    let other_contents: Vec<_> = (0..100).map(ContentFingerprint).collect();
    quarantine.record_crash(&other_contents, 1);
    expect_that!(quarantine.len(), eq(8));
    expect_that!(
        quarantine.content_status(crashing, 1),
        eq(ContentStatus::Quarantined)
    );
}

#[googletest::test]
fn a_fingerprint_depends_on_the_content_but_not_on_its_sender_or_layout() {
    let of = |body: &str| ContentFingerprint::of("draft", body.as_bytes());
    let content = of(r#"{"prompt": "spring", "user": "a", "request_id": "1"}"#);
    let resent = of(r#"{"request_id":"2","user":"b","prompt":"spring"}"#);
    expect_that!(resent, eq(content));
    expect_that!(of(r#"{"prompt": "coil"}"#), not(eq(content)));
    expect_that!(of("spring"), not(eq(of("coil"))));
    let of_other_service = ContentFingerprint::of("other", br#"{"prompt":"spring"}"#);
    expect_that!(of_other_service, not(eq(content)));
}
