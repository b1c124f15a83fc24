//! Schedule by which a starting process reads the configuration service.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ReaderElection;

/// Minimum time between two attempts.
const MIN_RETRY_DELAY_MS: u64 = 500;
const CALLS_PER_READ: u64 = 1;
/// Half the rate of calls that the configuration service can handle.
const CALLS_PER_S: u64 = 1_000;

/// Decides when a starting process reads the configuration service.
///
/// A whole fleet may start at the same time while the service is down. The reads of all processes
/// are spread over time so that the service receives at most half the calls that it can handle.
/// Each process retries until one read is answered.
#[derive(Debug)]
pub struct StartupReadSchedule {
    spread_ms: u64,
    seed: u64,
    reads: u64,
    next_ms: u64,
    is_answered: bool,
}

impl StartupReadSchedule {
    /// Creates the schedule of a process that starts at `now_ms` in a fleet of `processes`
    /// processes. `seed` determines the jitter.
    #[must_use]
    pub fn new(processes: usize, seed: u64, now_ms: u64) -> Self {
        let processes = processes as u64;
        let mut schedule = Self {
            spread_ms: ReaderElection::fallback_spread_ms(processes, CALLS_PER_READ, CALLS_PER_S),
            seed,
            reads: 0,
            next_ms: 0,
            is_answered: false,
        };
        schedule.next_ms = now_ms.saturating_add(schedule.jitter_ms());
        schedule
    }

    /// Returns whether a read is due, and schedules the next attempt if it is.
    pub fn take_due(&mut self, now_ms: u64) -> bool {
        if self.is_answered || now_ms < self.next_ms {
            return false;
        }
        self.reads += 1;
        let delay_ms = MIN_RETRY_DELAY_MS.max(self.spread_ms);
        let jitter_ms = self.jitter_ms();
        self.next_ms = now_ms.saturating_add(delay_ms).saturating_add(jitter_ms);
        true
    }

    /// Records that the service answered, after which no read becomes due.
    pub fn record_answer(&mut self) {
        self.is_answered = true;
    }

    fn jitter_ms(&self) -> u64 {
        xxh3_64_with_seed(&self.reads.to_le_bytes(), self.seed) % self.spread_ms.max(1)
    }
}
