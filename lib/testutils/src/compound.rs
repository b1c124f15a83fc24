//! Drawn pairs of faults over a whole fleet, with callers whose histories are checked.

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
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Shorter than a fault lasts, so that callers send again while the first send may still arrive.
const IMPATIENT_TIMEOUT: Duration = Duration::from_millis(500);
const RESEND_DELAY: Duration = Duration::from_millis(100);
const FAULT_PAUSE: Duration = Duration::from_millis(700);
const BODY: &str = "{\"wire_mm\":4}";

/// Sizes of one run.
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
    /// Pairs of faults, one after the other.
    pub rounds: usize,
}

/// What a caller knows of one commit at the end.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CommitHistory {
    key: String,
    /// Outcome of the last answer; empty when none came.
    last_outcome: String,
    heard: Vec<String>,
}

/// What a run found.
#[derive(Debug, Default)]
pub struct CompoundReport {
    /// Violated guarantees; empty for a good run.
    pub violations: Vec<String>,
    /// Commits whose last word was `ran`, `not-run`, `unknown` or none.
    pub ran: usize,
    /// Commits that were last told that they had not run.
    pub not_run: usize,
    /// Commits whose fate their caller does not know.
    pub unknown: usize,
    /// Those of them that had run.
    pub unknown_that_ran: usize,
    /// Drafts that were answered whole.
    pub whole_drafts: usize,
    /// Drafts that were cut or refused, told as such.
    pub failed_drafts: usize,
}

impl CompoundReport {
    /// Adds what another run found.
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

/// Runs a fleet under drawn pairs of faults and checks what its callers heard.
///
/// # Panics
///
/// Panics when the fleet does not start, or does not serve again after the faults.
#[must_use]
pub fn run(plan: CompoundPlan) -> CompoundReport {
    run_rounds(plan, &draw(plan))
}

/// Runs a fleet under given rounds of faults and checks what its callers heard.
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
        fail_for_a_while(round, &mut fleet);
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

/// Causes the faults of one round, waits, and undoes them.
fn fail_for_a_while(round: &Round, fleet: &mut Fleet) {
    let mut undos: Vec<(Fault, Undo)> = round
        .iter()
        .map(|fault| (*fault, fault.cause(fleet)))
        .collect();
    thread::sleep(FAULT_PAUSE);
    // A new entry can't serve before the platform's faults are undone.
    undos.sort_by_key(|(fault, _)| fault.kind == FaultKind::NewEntry);
    for (_, undo) in undos {
        undo(fleet);
    }
}

/// Commits until the faults are over; sends each commit until its fate is known or the sends are used up.
fn commit_repeatedly(
    seed: u64,
    number: u64,
    addresses: &[String],
    stop: &AtomicBool,
) -> Vec<CommitHistory> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let caller = Caller::new(ORGANISATIONS[0], IMPATIENT_TIMEOUT);
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
        heard: Vec::new(),
    };
    let mut placement: Option<String> = None;
    let mut attempt = 1;
    for _ in 0..MAX_SENDS {
        let entry = addresses.choose(rng).expect("a fleet has entries");
        let Some(bound) = placement.clone().or_else(|| caller.placement(entry)) else {
            thread::sleep(RESEND_DELAY);
            continue;
        };
        placement = Some(bound.clone());
        let heard = caller.commit(entry, key, &bound, attempt, BODY);
        history.last_outcome.clone_from(&heard.outcome);
        history
            .heard
            .push(format!("{} {}", heard.outcome, heard.code()));
        match heard.outcome.as_str() {
            "ran" => break,
            "not-run" => {
                placement = heard.placement;
                attempt = 1;
            }
            _ => attempt += 1,
        }
        thread::sleep(RESEND_DELAY);
    }
    history
}

/// Counts of one caller of drafts.
#[derive(Debug, Default)]
struct DraftCounts {
    whole: usize,
    failed: usize,
    violations: Vec<String>,
}

fn draft_reference(entry: &str) -> String {
    let draft =
        Caller::new(ORGANISATIONS[1], CALLER_TIMEOUT).draft(entry, "hook", DRAFT_TOKENS, true);
    whole_draft(&draft.body).expect("a draft is whole before any fault")
}

fn draft_repeatedly(addresses: &[String], reference: &str, stop: &AtomicBool) -> DraftCounts {
    let caller = Caller::new(ORGANISATIONS[1], CALLER_TIMEOUT);
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
                .push(format!("draft is not its own: {text}")),
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
            let heard = &history.heard;
            report.violations.push(format!(
                "commit {key} ran {count} times, its caller heard {heard:?}"
            ));
        }
    }
}

/// After the faults, each entry that runs serves both services again.
fn check_recovery(fleet: &Fleet, reference: &str) {
    let caller = Caller::new(ORGANISATIONS[0], CALLER_TIMEOUT);
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
