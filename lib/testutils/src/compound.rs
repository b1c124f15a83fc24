//! Runs a whole fleet under randomly drawn pairs of faults and checks the histories of its callers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::caller::Caller;
use crate::caller::whole_draft;
use crate::compound_fault::Fault;
use crate::compound_fault::FaultKind;
use crate::compound_fault::Round;
use crate::compound_fault::Undo;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::fleet::ORGANISATIONS;

const CALLERS: u64 = 10;
const DRAFT_CALLERS: usize = 6;
const DRAFT_TOKENS: u32 = 50;
const MAX_SENDS: u32 = 8;
const DRAFT_TIMEOUT: Duration = Duration::from_secs(3);
/// Shorter than a fault, so that callers resend while their first send may still be delivered.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(500);
const RESEND_DELAY: Duration = Duration::from_millis(100);
const FAULT_DURATION: Duration = Duration::from_millis(700);
const BODY: &str = "{\"wire_mm\":4}";

/// Seed and sizes of one run.
#[derive(Debug, Clone, Copy)]
pub struct CompoundPlan {
    /// Seed of the faults and of the callers' choices.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain endpoints.
    pub plain_endpoints: usize,
    /// Number of pairs of faults, which are injected one after another.
    pub rounds: usize,
}

/// The answers that a caller received for one commit.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CommitHistory {
    key: String,
    /// Outcome of the last answer; empty if none arrived.
    last_outcome: String,
    answers: Vec<String>,
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct CompoundReport {
    /// Violations of the guarantees; empty if the run passed.
    pub violations: Vec<String>,
    /// Commits whose last answer was `ran`.
    pub ran: usize,
    /// Commits whose last answer was `not-run`, or that were never sent.
    pub not_run: usize,
    /// Commits whose last answer was `unknown`, or that got no answer to their last send.
    pub unknown: usize,
    /// Commits counted in `unknown` that had run.
    pub unknown_that_ran: usize,
    /// Drafts whose answer was complete.
    pub whole_drafts: usize,
    /// Drafts that were refused or whose answer was visibly incomplete.
    pub failed_drafts: usize,
}

impl CompoundReport {
    /// Adds the results of another run.
    pub fn add(&mut self, other: Self) {
        self.violations.extend(other.violations);
        self.ran += other.ran;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unknown_that_ran += other.unknown_that_ran;
        self.whole_drafts += other.whole_drafts;
        self.failed_drafts += other.failed_drafts;
    }
}

/// Draws the rounds of faults of a run.
#[must_use]
pub fn draw(plan: CompoundPlan) -> Vec<Round> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    (0..plan.rounds)
        .map(|_| Fault::draw_pair(&mut rng))
        .collect()
}

/// Runs a fleet under pairs of faults drawn from the seed and checks the answers that its callers received.
///
/// # Panics
///
/// Panics when the fleet does not start, or does not serve again after the faults.
#[must_use]
pub fn run(plan: CompoundPlan) -> CompoundReport {
    run_rounds(plan, &draw(plan))
}

/// Runs a fleet under the given rounds of faults and checks the answers that its callers received.
///
/// # Panics
///
/// Panics when the fleet does not start, or does not serve again after the faults.
#[must_use]
pub fn run_rounds(plan: CompoundPlan, rounds: &[Round]) -> CompoundReport {
    let fleet_plan = FleetPlan::builder()
        .entries(plan.entries)
        .engines(plan.engines)
        .plain_endpoints(plan.plain_endpoints)
        .engine_flags(flags(&["--token-interval-ms", "10"]))
        .plain_flags(flags(&["--work-ms", "60"]))
        .relay_peers(true)
        .relay_platform(true)
        .build();
    let mut fleet = Fleet::start(fleet_plan);
    let addresses: Vec<String> = fleet
        .entries
        .iter()
        .map(|entry| entry.caller_address.clone())
        .collect();
    let reference = draft_reference(&addresses[0]);
    let stop = Arc::new(AtomicBool::new(false));
    let commits: Vec<_> = (0..CALLERS)
        .map(|number| {
            let addresses = addresses.clone();
            let seed = plan.seed.wrapping_mul(CALLERS).wrapping_add(number);
            let stop = Arc::clone(&stop);
            thread::spawn(move || commit_repeatedly(seed, number, &addresses, &stop))
        })
        .collect();
    let drafts: Vec<_> = (0..DRAFT_CALLERS)
        .map(|number| {
            let mut addresses = addresses.clone();
            let entries = addresses.len();
            addresses.rotate_left(number % entries);
            let stop = Arc::clone(&stop);
            let reference = reference.clone();
            thread::spawn(move || draft_repeatedly(&addresses, &reference, &stop))
        })
        .collect();

    let mut report = CompoundReport::default();
    for round in rounds {
        inject_round(round, &mut fleet);
    }
    stop.store(true, Ordering::Release);
    let histories: Vec<CommitHistory> = commits
        .into_iter()
        .flat_map(|caller| caller.join().expect("a caller thread ends normally"))
        .collect();
    for caller in drafts {
        let counts = caller.join().expect("a caller thread ends normally");
        report.whole_drafts += counts.whole;
        report.failed_drafts += counts.failed;
        report.violations.extend(counts.violations);
    }
    check_commits(&fleet, &histories, &mut report);
    check_recovery(&fleet, &reference);
    report
}

/// Injects the faults of one round, waits and undoes them.
fn inject_round(round: &Round, fleet: &mut Fleet) {
    let mut undos_by_fault: Vec<(Fault, Undo)> = round
        .iter()
        .map(|fault| (*fault, fault.cause(fleet)))
        .collect();
    thread::sleep(FAULT_DURATION);
    // A new entry cannot serve until the faults of the platform are undone.
    undos_by_fault.sort_by_key(|(fault, _)| fault.kind == FaultKind::NewEntry);
    for (_, undo) in undos_by_fault {
        undo(fleet);
    }
}

/// Sends commits until the faults are over; each is resent until it has run or `MAX_SENDS` is reached.
fn commit_repeatedly(
    seed: u64,
    number: u64,
    addresses: &[String],
    stop: &AtomicBool,
) -> Vec<CommitHistory> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let caller = Caller::new(ORGANISATIONS[0], COMMIT_TIMEOUT);
    let mut histories = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let key = format!("key-{number}-{}", histories.len());
        histories.push(commit_one(&caller, &key, addresses, &mut rng));
    }
    histories
}

fn commit_one(
    caller: &Caller,
    key: &str,
    addresses: &[String],
    rng: &mut SmallRng,
) -> CommitHistory {
    let mut history = CommitHistory {
        key: key.to_owned(),
        last_outcome: "not-run".to_owned(),
        answers: Vec::new(),
    };
    let mut placement: Option<String> = None;
    let mut attempt = 1;
    for _ in 0..MAX_SENDS {
        let entry = addresses.choose(rng).expect("a fleet has entries");
        let Some(sent_placement) = placement.clone().or_else(|| caller.placement(entry)) else {
            thread::sleep(RESEND_DELAY);
            continue;
        };
        placement = Some(sent_placement.clone());
        let answers = caller.commit(entry, key, &sent_placement, attempt, BODY);
        history.last_outcome.clone_from(&answers.outcome);
        history
            .answers
            .push(format!("{} {}", answers.outcome, answers.code()));
        match answers.outcome.as_str() {
            "ran" => break,
            "not-run" => {
                placement = answers.placement;
                attempt = 1;
            }
            _ => attempt += 1,
        }
        thread::sleep(RESEND_DELAY);
    }
    history
}

/// Results of one caller of drafts.
#[derive(Debug, Default)]
struct DraftCounts {
    whole: usize,
    failed: usize,
    violations: Vec<String>,
}

fn draft_reference(entry: &str) -> String {
    let draft =
        Caller::new(ORGANISATIONS[1], DRAFT_TIMEOUT).draft(entry, "hook", DRAFT_TOKENS, true);
    whole_draft(&draft.body).expect("a draft is whole before any fault")
}

fn draft_repeatedly(addresses: &[String], reference: &str, stop: &AtomicBool) -> DraftCounts {
    let caller = Caller::new(ORGANISATIONS[1], DRAFT_TIMEOUT);
    let mut counts = DraftCounts::default();
    for entry in addresses.iter().cycle() {
        if stop.load(Ordering::Acquire) {
            break;
        }
        let draft = caller.draft(entry, "hook", DRAFT_TOKENS, true);
        match whole_draft(&draft.body) {
            Some(text) if text == reference => counts.whole += 1,
            Some(text) => counts
                .violations
                .push(format!("draft differs from the reference: {text}")),
            None => counts.failed += 1,
        }
    }
    counts
}

fn check_commits(fleet: &Fleet, histories: &[CommitHistory], report: &mut CompoundReport) {
    let executions = fleet.executions();
    for history in histories {
        let name = format!("{}/{}", ORGANISATIONS[0], history.key);
        let count = executions.get(&name).copied().unwrap_or(0);
        let is_allowed = match history.last_outcome.as_str() {
            "ran" => count == 1,
            "not-run" => count == 0,
            _ => count <= 1,
        };
        match history.last_outcome.as_str() {
            "ran" => report.ran += 1,
            "not-run" => report.not_run += 1,
            _ => {
                report.unknown += 1;
                report.unknown_that_ran += usize::from(count > 0);
            }
        }
        if !is_allowed {
            let key = &history.key;
            let answers = &history.answers;
            report.violations.push(format!(
                "commit {key} ran {count} times, its caller received {answers:?}"
            ));
        }
    }
}

/// Checks that each running entry serves both services again after the faults.
fn check_recovery(fleet: &Fleet, reference: &str) {
    let caller = Caller::new(ORGANISATIONS[0], DRAFT_TIMEOUT);
    for entry in &fleet.entries {
        let address = &entry.caller_address;
        if crate::http::try_get(&format!("http://{address}/v1/endpoints?service=x")).is_none() {
            continue;
        }
        let name = &entry.vm_name;
        Fleet::wait_for("an entry serves again after the faults", || {
            let draft = caller.draft(address, "hook", DRAFT_TOKENS, true);
            let placement = caller.placement(address).unwrap_or_default();
            let commit = caller.commit(address, &format!("recovery-{name}"), &placement, 1, BODY);
            whole_draft(&draft.body).as_deref() == Some(reference) && commit.outcome == "ran"
        });
    }
}

fn flags(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}
