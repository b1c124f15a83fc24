//! Fuzzes the exchange of patches: applying a patch either yields exactly the bytes published under
//! its revision, or fails. Answers may be lost, duplicated, reordered or corrupted.

use std::collections::BTreeMap;

use googletest::prelude::*;
use pomeloramp_lib::ConfigChanges;
use pomeloramp_lib::ConfigOfferResult;
use pomeloramp_lib::ConfigStore;
use pomeloramp_lib::PatchChain;
use pomeloramp_lib::ValuePatch;
use pomeloramp_lib::protos::control::ConfigPatch;
use pomeloramp_lib::protos::control::ConfigValue;
use pomeloramp_lib::protos::control::PatchStep;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const PROCESSES: usize = 4;
const SERVICES: [&str; 2] = ["draft", "commit"];
const REPLY_BYTES: usize = 1_500;
const EXCHANGES: usize = 12;

/// Long enough that ten such lines evict the oldest step from a chain.
const LONG_LINE_BYTES: usize = 9_000;

#[derive(Debug, Clone)]
enum Edit {
    Replace(Index, u16),
    Insert(Index, u16),
    InsertLong(Index),
    Remove(Index),
    Swap(Index, Index),
    /// Makes the document invalid, or valid again.
    ToggleValidity,
    Delete,
}

#[derive(Debug, Clone)]
enum Fault {
    FlipByte(Index),
    MoveCopy,
    DropStep,
    OtherDigest,
    OtherBase,
}

#[derive(Debug, Clone)]
enum Transition {
    Publish {
        service: usize,
        edits: Vec<Edit>,
    },
    /// A process reads the service as it was before the last `staleness` publications.
    Read {
        process: usize,
        staleness: usize,
    },
    /// A process requests the changes it lacks from a peer; the answer is in flight.
    Request {
        process: usize,
        peer: usize,
    },
    Deliver {
        index: usize,
    },
    Duplicate {
        index: usize,
    },
    Corrupt {
        index: usize,
        fault: Fault,
    },
    Lose {
        index: usize,
    },
    Restart {
        process: usize,
    },
}

#[derive(Debug, Clone)]
struct StatelessReference;

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        8 => (any::<Index>(), 0..9_u16).prop_map(|(at, text)| Edit::Replace(at, text)),
        4 => (any::<Index>(), 0..9_u16).prop_map(|(at, text)| Edit::Insert(at, text)),
        1 => any::<Index>().prop_map(Edit::InsertLong),
        4 => any::<Index>().prop_map(Edit::Remove),
        2 => (any::<Index>(), any::<Index>()).prop_map(|(a, b)| Edit::Swap(a, b)),
        1 => Just(Edit::ToggleValidity),
        1 => Just(Edit::Delete),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        any::<Index>().prop_map(Fault::FlipByte),
        Just(Fault::MoveCopy),
        Just(Fault::DropStep),
        Just(Fault::OtherDigest),
        Just(Fault::OtherBase),
    ]
}

impl ReferenceStateMachine for StatelessReference {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let process = 0..PROCESSES;
        let index = 0..16_usize;
        prop_oneof![
            6 => (0..SERVICES.len(), vec(edit(), 1..4))
                .prop_map(|(service, edits)| Transition::Publish { service, edits }),
            5 => (process.clone(), 0..4_usize)
                .prop_map(|(process, staleness)| Transition::Read { process, staleness }),
            10 => (process.clone(), process.clone())
                .prop_map(|(process, peer)| Transition::Request { process, peer }),
            10 => index.clone().prop_map(|index| Transition::Deliver { index }),
            2 => index.clone().prop_map(|index| Transition::Duplicate { index }),
            2 => (index.clone(), fault())
                .prop_map(|(index, fault)| Transition::Corrupt { index, fault }),
            1 => index.prop_map(|index| Transition::Lose { index }),
            1 => process.prop_map(|process| Transition::Restart { process }),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Transition) -> Self {
        state
    }
}

#[derive(Debug, Clone)]
struct Answer {
    process: usize,
    changes: ConfigChanges,
}

struct Process {
    store: ConfigStore,
    in_force: BTreeMap<String, u64>,
}

struct Fleet {
    documents: [Vec<String>; SERVICES.len()],
    is_valid: [bool; SERVICES.len()],
    published: Vec<ConfigValue>,
    processes: Vec<Process>,
    answers: Vec<Answer>,
    applied_patches: usize,
}

fn key(service: usize) -> String {
    format!("services/{}", SERVICES[service])
}

fn comment(text: u16) -> String {
    format!("# note for organisation {text}")
}

impl Edit {
    fn apply(&self, lines: &mut Vec<String>) {
        let count = lines.len();
        match self {
            Self::Replace(at, text) if count > 0 => lines[at.index(count)] = comment(*text),
            Self::Insert(at, text) => lines.insert(at.index(count + 1), comment(*text)),
            Self::InsertLong(at) => {
                let line = format!("# {}", "x".repeat(LONG_LINE_BYTES));
                lines.insert(at.index(count + 1), line);
            }
            Self::Remove(at) if count > 0 => {
                lines.remove(at.index(count));
            }
            Self::Swap(a, b) if count > 0 => lines.swap(a.index(count), b.index(count)),
            Self::Delete => lines.clear(),
            _ => {}
        }
    }
}

fn document(service: usize, lines: &[String], is_valid: bool) -> Vec<u8> {
    if lines.is_empty() {
        return Vec::new();
    }
    let kind = if is_valid { "plain" } else { "no" };
    let head = format!(
        "service: {}\nkind: {kind}\ndeadline_ms: 5\n",
        SERVICES[service]
    );
    (head + &lines.join("\n")).into_bytes()
}

impl Fault {
    /// Corrupts the last patch of an answer, if it has one.
    fn apply(&self, changes: &mut ConfigChanges) {
        let Some(patch) = changes.patches.last_mut() else {
            return;
        };
        match self {
            Self::FlipByte(at) => {
                let pieces = patch.steps.iter_mut().flat_map(|step| &mut step.pieces);
                let mut bytes: Vec<_> = pieces.flat_map(|piece| &mut piece.insert).collect();
                if !bytes.is_empty() {
                    let at = at.index(bytes.len());
                    *bytes[at] ^= 1;
                }
            }
            Self::MoveCopy => {
                for step in &mut patch.steps {
                    for piece in &mut step.pieces {
                        piece.copy_offset += 1;
                    }
                }
            }
            Self::DropStep => {
                let first = patch.steps.len().min(1);
                patch.steps.drain(..first);
            }
            Self::OtherDigest => patch.sha256[0] ^= 1,
            Self::OtherBase => patch.base_revision = patch.base_revision.saturating_sub(1),
        }
    }
}

fn stored_values(store: &ConfigStore) -> Vec<ConfigValue> {
    store.newer_than(&[])
}

impl Process {
    fn new() -> Self {
        Self {
            store: ConfigStore::new(),
            in_force: BTreeMap::new(),
        }
    }

    /// Checks that each stored value has the bytes published under its revision, and that no
    /// revision in force decreased.
    fn check(&mut self, published: &[ConfigValue]) {
        for value in stored_values(&self.store) {
            let revision = usize::try_from(value.revision).unwrap();
            assert!(
                value == published[revision - 1],
                "bytes of revision {revision}"
            );
        }
        let documents = self.store.documents().into_iter();
        let in_force: BTreeMap<_, _> = documents.map(|item| (item.key, item.revision)).collect();
        for (key, before) in &self.in_force {
            let after = in_force.get(key).copied().unwrap_or(0);
            assert!(after >= *before, "{key} went from {before} back to {after}");
        }
        self.in_force = in_force;
    }

    /// Applies changes and returns the number of patches that were applied.
    fn apply(&mut self, changes: &ConfigChanges) -> usize {
        for value in &changes.values {
            assert_ne!(self.store.offer(value), ConfigOfferResult::Conflict);
        }
        let patches = changes.patches.iter();
        let results = patches.map(|patch| self.store.offer_patch(patch));
        let applied = [ConfigOfferResult::InForce, ConfigOfferResult::Refused];
        results.filter(|result| applied.contains(result)).count()
    }
}

impl Fleet {
    fn publish(&mut self, service: usize, edits: &[Edit]) {
        for edit in edits {
            edit.apply(&mut self.documents[service]);
            if matches!(edit, Edit::ToggleValidity) {
                self.is_valid[service] = !self.is_valid[service];
            }
        }
        let lines = &self.documents[service];
        self.published.push(ConfigValue {
            key: key(service),
            revision: self.published.len() as u64 + 1,
            value: document(service, lines, self.is_valid[service]),
        });
    }

    fn read(&mut self, process: usize, staleness: usize) {
        let visible = self.published.len().saturating_sub(staleness);
        let published = self.published[..visible].iter();
        let latest: BTreeMap<_, _> = published.map(|value| (&value.key, value)).collect();
        for value in latest.values() {
            self.processes[process].store.offer(value);
        }
    }

    fn answer(&self, process: usize, peer: usize) -> Answer {
        let have = self.processes[process].store.held_revisions();
        let changes = self.processes[peer].store.changes_since(&have, REPLY_BYTES);
        Answer { process, changes }
    }

    fn deliver(&mut self, answer: &Answer) {
        self.applied_patches += self.processes[answer.process].apply(&answer.changes);
    }

    fn index(&self, index: usize) -> Option<usize> {
        index.checked_rem(self.answers.len())
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = StatelessReference;

    fn init_test(_: &StatelessReference) -> Self {
        let lines = || (100..130).map(comment).collect();
        Self {
            documents: [lines(), lines()],
            is_valid: [true; SERVICES.len()],
            published: Vec::new(),
            processes: (0..PROCESSES).map(|_| Process::new()).collect(),
            answers: Vec::new(),
            applied_patches: 0,
        }
    }

    fn apply(mut fleet: Self, _: &StatelessReference, transition: Transition) -> Self {
        match transition {
            Transition::Publish { service, edits } => fleet.publish(service, &edits),
            Transition::Read { process, staleness } => fleet.read(process, staleness),
            Transition::Request { process, peer } => {
                let answer = fleet.answer(process, peer);
                fleet.answers.push(answer);
            }
            Transition::Deliver { index } => {
                if let Some(index) = fleet.index(index) {
                    let answer = fleet.answers.swap_remove(index);
                    fleet.deliver(&answer);
                }
            }
            Transition::Duplicate { index } => {
                if let Some(index) = fleet.index(index) {
                    let answer = fleet.answers[index].clone();
                    fleet.deliver(&answer);
                }
            }
            Transition::Corrupt { index, fault } => {
                if let Some(index) = fleet.index(index) {
                    fault.apply(&mut fleet.answers[index].changes);
                }
            }
            Transition::Lose { index } => {
                if let Some(index) = fleet.index(index) {
                    fleet.answers.swap_remove(index);
                }
            }
            Transition::Restart { process } => fleet.processes[process] = Process::new(),
        }
        for process in &mut fleet.processes {
            process.check(&fleet.published);
        }
        fleet
    }

    /// Without further faults all copies become equal, even those that received a corrupt patch.
    fn teardown(mut fleet: Self, _: StatelessReference) {
        for _ in 0..EXCHANGES {
            for process in 0..PROCESSES {
                for peer in 0..PROCESSES {
                    let answer = fleet.answer(process, peer);
                    fleet.deliver(&answer);
                }
            }
        }
        let copies = fleet
            .processes
            .iter()
            .map(|process| stored_values(&process.store));
        let copies: Vec<_> = copies.collect();
        assert!(copies.iter().all(|copy| *copy == copies[0]), "{copies:?}");
        println!("patches applied {}", fleet.applied_patches);
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 300, ..Config::default() })]

    #[test]
    fn a_patch_results_in_the_bytes_of_its_revision(sequential 1..150 => Fleet);
}

proptest! {
    #![proptest_config(Config { cases: 1000, ..Config::default() })]

    #[test]
    fn a_patch_leads_from_any_value_to_any_other(
        former in "([abc]{0,3}\n?){0,12}",
        new in "([abc]{0,3}\n?){0,12}",
    ) {
        let patch = ValuePatch::between(former.as_bytes(), new.as_bytes());
        prop_assert_eq!(patch.apply(former.as_bytes()), Some(new.into_bytes()));
    }

    #[test]
    fn a_patch_that_does_not_fit_is_refused(
        former in vec(any::<u8>(), 0..8),
        offset in any::<u64>(),
        length in any::<u64>(),
    ) {
        let mut step = ValuePatch::between(b"abc", b"abc").into_step(1);
        step.pieces[0].copy_offset = offset;
        step.pieces[0].copy_bytes = length;
        let fits = offset.checked_add(length).is_some_and(|end| end <= former.len() as u64);
        prop_assert_eq!(ValuePatch::from_step(&step).apply(&former).is_some(), fits);
    }
}

fn organisations(count: usize, changed: &[usize]) -> Vec<u8> {
    let head = "service: draft\nkind: plain\ndeadline_ms: 5\norganisations:\n";
    let rows = (0..count).map(|number| {
        let urgency = if changed.contains(&number) { 7 } else { 5 };
        format!(
            "- organisation: organisation-{number:05}\n  credential_sha256: {number:064x}\n  \
             max_in_flight: 64\n  urgency: {urgency}\n  share_weight: 3\n  idle_weight: 1\n"
        )
    });
    let rows: Vec<String> = rows.collect();
    (head.to_owned() + &rows.concat()).into_bytes()
}

fn value(revision: u64, bytes: Vec<u8>) -> ConfigValue {
    ConfigValue {
        key: key(0),
        revision,
        value: bytes,
    }
}

#[googletest::test]
fn a_patch_of_distant_lines_contains_only_those_lines() {
    let former = organisations(400, &[]);
    let new = organisations(400, &[3, 390]);
    let patch = ValuePatch::between(&former, &new);
    expect_that!(patch.apply(&former), some(eq(&new)));
    expect_that!(patch.encoded_bytes(), lt(100));
}

#[googletest::test]
fn a_peer_with_an_old_revision_gets_patches_and_one_without_gets_the_whole_value() {
    let mut store = ConfigStore::new();
    let mut behind = ConfigStore::new();
    behind.offer(&value(1, organisations(50, &[])));
    for revision in 1..=5_u8 {
        let changed: Vec<usize> = (1..usize::from(revision)).collect();
        store.offer(&value(u64::from(revision), organisations(50, &changed)));
    }
    let changes = store.changes_since(&behind.held_revisions(), usize::MAX);
    assert_that!(changes.patches, len(eq(1)));
    expect_that!(changes.patches[0].steps, len(eq(4)));
    expect_that!(
        behind.offer_patch(&changes.patches[0]),
        eq(ConfigOfferResult::InForce)
    );
    expect_that!(stored_values(&behind), eq(&stored_values(&store)));
    let forwarded = behind.changes_since(&[revision_of(3)], usize::MAX);
    expect_that!(
        forwarded.patches,
        len(eq(1)),
        "received steps are sent to other peers"
    );
    let for_later_revision = store.changes_since(&[revision_of(9)], usize::MAX);
    expect_that!(for_later_revision, eq(&ConfigChanges::default()));
    let for_empty_copy = store.changes_since(&[], usize::MAX);
    expect_that!(for_empty_copy.values, eq(&stored_values(&store)));
}

fn revision_of(revision: u64) -> pomeloramp_lib::protos::control::KeyRevision {
    pomeloramp_lib::protos::control::KeyRevision {
        key: key(0),
        revision,
    }
}

#[googletest::test]
fn after_a_patch_with_a_wrong_digest_the_whole_value_is_requested() {
    let mut store = ConfigStore::new();
    store.offer(&value(1, organisations(50, &[])));
    store.offer(&value(2, organisations(50, &[4])));
    let mut other = ConfigStore::new();
    other.offer(&value(1, organisations(50, &[9])));
    let changes = store.changes_since(&other.held_revisions(), usize::MAX);
    expect_that!(
        other.offer_patch(&changes.patches[0]),
        eq(ConfigOfferResult::DigestMismatch)
    );
    let whole = store.changes_since(&other.held_revisions(), usize::MAX);
    expect_that!(whole.patches, is_empty());
    assert_that!(whole.values, len(eq(1)));
    expect_that!(
        other.offer(&whole.values[0]),
        eq(ConfigOfferResult::InForce)
    );
    expect_that!(stored_values(&other), eq(&stored_values(&store)));
}

#[googletest::test]
fn answers_are_bounded_and_the_next_one_continues_with_the_next_revision() {
    let mut store = ConfigStore::new();
    for service in 0..SERVICES.len() {
        let bytes = document(service, &[comment(1)], true);
        store.offer(&ConfigValue {
            key: key(service),
            revision: service as u64 + 1,
            value: bytes,
        });
    }
    let first = store.changes_since(&[], 10);
    expect_that!(first.has_more, eq(true));
    assert_that!(first.values, len(eq(1)));
    expect_that!(first.values[0].revision, eq(1));
    let mut other = ConfigStore::new();
    other.offer(&first.values[0]);
    let second = store.changes_since(&other.held_revisions(), 10);
    expect_that!(second.has_more, eq(false));
    expect_that!(second.values[0].revision, eq(2));
}

#[googletest::test]
fn a_chain_drops_its_oldest_steps_and_is_emptied_at_a_gap() {
    let step = |revision| PatchStep {
        revision,
        pieces: Vec::new(),
    };
    let mut chain = PatchChain::new(1);
    for revision in 2..100 {
        chain.push(revision - 1, step(revision));
    }
    expect_that!(chain.since(1), none());
    expect_that!(chain.since(98), some(elements_are![eq(&step(99))]));
    expect_that!(chain.since(99), some(is_empty()));
    chain.push(200, step(201));
    expect_that!(chain.since(98), none());
    expect_that!(chain.since(200), some(elements_are![eq(&step(201))]));
    expect_that!(chain.revision(), eq(201));
}

#[googletest::test]
fn a_patch_without_steps_changes_nothing() {
    let mut store = ConfigStore::new();
    store.offer(&value(1, organisations(2, &[])));
    let patch = ConfigPatch {
        key: key(0),
        base_revision: 1,
        ..ConfigPatch::default()
    };
    expect_that!(store.offer_patch(&patch), eq(ConfigOfferResult::Stale));
}
