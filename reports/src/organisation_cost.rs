//! What one more organisation costs an agent in time and memory.

use std::collections::VecDeque;
use std::fs;
use std::hint::black_box;
use std::time::Instant;

use pomeloramp_lib::Admission;
use pomeloramp_lib::FairQueue;
use pomeloramp_lib::FairQueueSettings;
use pomeloramp_lib::IdleTimeTracker;
use pomeloramp_lib::QueueAction;
use pomeloramp_lib::QueuedRequest;
use pomeloramp_lib::RequestNumber;
use pomeloramp_lib::StartedRequest;
use pomeloramp_lib::protos::template::OrganisationParameters;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Numbers of organisations that are measured.
pub const ORGANISATION_COUNTS: [usize; 3] = [10, 400, 3_800];
const CAPACITY: u32 = 16;
const MAX_QUEUED_REQUESTS: u32 = 1_000;
/// Requests of each measurement of time.
pub const REQUESTS: u64 = 300_000;
const RUN_MS: u64 = 100;
const DEADLINE_MS: u64 = 600_000;
const PAGE_BYTES: u64 = 4_096;
/// Organisations whose state is built to read its size from the process's resident memory.
const ORGANISATIONS_HELD: usize = 200_000;

/// Time that one agent spends, on the machine of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationTimes {
    /// Number of organisations.
    pub organisations: usize,
    /// Time of the fair queue for a request.
    pub queue_ns_per_request: u128,
    /// Time of the account of idle time for a request.
    pub ledger_ns_per_request: u128,
    /// Time to put the parameters of all organisations in force again, in both.
    pub set_parameters_us: u128,
}

/// Memory of one agent for each organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationBytes {
    /// Number of organisations.
    pub organisations: usize,
    /// Bytes of the parameters.
    pub parameters_bytes_each: u64,
    /// Bytes of the fair queue.
    pub queue_bytes_each: u64,
    /// Bytes of the account of idle time.
    pub ledger_bytes_each: u64,
}

/// Measures the time against the number of organisations.
#[must_use]
pub fn organisation_times(seed: u64) -> Vec<OrganisationTimes> {
    let times = ORGANISATION_COUNTS.map(|count| {
        let declared = parameters(count);
        OrganisationTimes {
            organisations: count,
            queue_ns_per_request: queue_ns_per_request(&declared, seed),
            ledger_ns_per_request: ledger_ns_per_request(&declared, seed),
            set_parameters_us: set_parameters_us(&declared),
        }
    });
    times.into()
}

/// Measures the memory against the number of organisations, by the growth of the process.
///
/// Keeps all that it builds until the end, so that no measurement reuses another's memory. What
/// the process freed before is reused all the same, so measure this first.
#[must_use]
pub fn organisation_bytes() -> Vec<OrganisationBytes> {
    let mut parameters_held = Vec::new();
    let mut queues_held = Vec::new();
    let mut ledgers_held = Vec::new();
    let bytes = ORGANISATION_COUNTS.map(|count| {
        let declared = parameters(count);
        OrganisationBytes {
            organisations: count,
            parameters_bytes_each: bytes_each(count, &mut parameters_held, || parameters(count)),
            queue_bytes_each: bytes_each(count, &mut queues_held, || queue(&declared)),
            ledger_bytes_each: bytes_each(count, &mut ledgers_held, || tracker(&declared)),
        }
    });
    black_box((parameters_held, queues_held, ledgers_held));
    bytes.into()
}

fn parameters(count: usize) -> Vec<OrganisationParameters> {
    (0..count)
        .map(|n| OrganisationParameters {
            organisation: format!("organisation-{n:05}"),
            credential_sha256: format!("{n:064x}"),
            max_in_flight: 64,
            urgency: u32::try_from(n % 10).unwrap_or(0),
            share_weight: 1 + u32::try_from(n % 7).unwrap_or(0),
            idle_weight: 1 + u32::try_from(n % 3).unwrap_or(0),
        })
        .collect()
}

fn queue(declared: &[OrganisationParameters]) -> FairQueue {
    let settings = FairQueueSettings::builder()
        .capacity(CAPACITY)
        .max_queued_requests(MAX_QUEUED_REQUESTS)
        .build();
    let mut queue = FairQueue::new(settings);
    queue.set_parameters(declared, 0);
    queue
}

fn tracker(declared: &[OrganisationParameters]) -> IdleTimeTracker {
    let mut tracker = IdleTimeTracker::new(CAPACITY, 0);
    tracker.set_parameters(declared, 0);
    tracker
}

/// Time for one offer, one finish and one dispatch, with the queue about half full.
fn queue_ns_per_request(declared: &[OrganisationParameters], seed: u64) -> u128 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue = queue(declared);
    let mut running = VecDeque::new();
    let started = Instant::now();
    for number in 0..REQUESTS {
        let now_ms = number;
        let organisation = &declared[rng.random_range(0..declared.len())].organisation;
        let request = QueuedRequest {
            number: RequestNumber(number),
            organisation: organisation.clone(),
            deadline_ms: now_ms + DEADLINE_MS,
            expected_run_ms: RUN_MS,
        };
        if let Admission::Start(StartedRequest { number, .. }) = queue.offer(request, now_ms) {
            running.push_back(number);
        }
        if queue.queued_requests() < MAX_QUEUED_REQUESTS as usize / 2 {
            continue;
        }
        if let Some(finished) = running.pop_front() {
            queue.finish(finished, now_ms);
        }
        for dispatch in queue.next(now_ms) {
            if let QueueAction::Start(StartedRequest { number, .. }) = dispatch {
                running.push_back(number);
            }
        }
    }
    started.elapsed().as_nanos() / u128::from(REQUESTS)
}

/// Time for one start and one finish with 10 ms between two of them, turns included.
fn ledger_ns_per_request(declared: &[OrganisationParameters], seed: u64) -> u128 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tracker = tracker(declared);
    let mut running = VecDeque::new();
    let started = Instant::now();
    for number in 0..REQUESTS {
        let now_ms = number * 10;
        let organisation = &declared[rng.random_range(0..declared.len())].organisation;
        tracker.observe_start(organisation, now_ms);
        running.push_back(organisation);
        if running.len() > CAPACITY as usize - 2
            && let Some(finished) = running.pop_front()
        {
            tracker.observe_finish(finished, now_ms);
        }
    }
    black_box(tracker.capacity_ms());
    started.elapsed().as_nanos() / u128::from(REQUESTS)
}

/// Time to put the parameters of all organisations in force again, in queue and tracker.
fn set_parameters_us(declared: &[OrganisationParameters]) -> u128 {
    const CHANGES: u64 = 50;
    let mut queue = queue(declared);
    let mut tracker = tracker(declared);
    let started = Instant::now();
    for now_ms in 0..CHANGES {
        queue.set_parameters(declared, now_ms);
        tracker.set_parameters(declared, now_ms);
    }
    started.elapsed().as_micros() / u128::from(CHANGES)
}

fn bytes_each<T>(count: usize, held: &mut Vec<T>, make: impl Fn() -> T) -> u64 {
    let copies = ORGANISATIONS_HELD / count;
    held.reserve(copies);
    let before = resident_bytes();
    held.extend((0..copies).map(|_| make()));
    let after = resident_bytes();
    after.saturating_sub(before) / (copies * count) as u64
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
