//! When a starting process reads the configuration service.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ReaderElection;

/// Shortest time from one attempt to the next.
const RETRY_DELAY_MS: u64 = 500;
const CALLS_PER_READ: u64 = 1;
/// Half the calls that the configuration service takes.
const CALLS_PER_S: u64 = 1_000;

/// Decides when a starting process reads the configuration service.
///
/// A whole fleet may start at one moment, before a service that is down. The reads of all processes
/// are spread so that the service gets at most half the calls that it takes, and each process
/// reads until one read was answered.
#[derive(Debug)]
pub struct StartupReadSchedule {
    spread_ms: u64,
    seed: u64,
    reads: u64,
    next_ms: u64,
    is_answered: bool,
}

impl StartupReadSchedule {
    /// Makes the plan of a process that starts at `now_ms` in a fleet of `processes`; `seed` draws
    /// its times.
    #[must_use]
    pub fn new(processes: usize, seed: u64, now_ms: u64) -> Self {
        let processes = processes as u64;
        let mut plan = Self {
            spread_ms: ReaderElection::fallback_spread_ms(processes, CALLS_PER_READ, CALLS_PER_S),
            seed,
            reads: 0,
            next_ms: 0,
            is_answered: false,
        };
        plan.next_ms = now_ms.saturating_add(plan.jitter_ms());
        plan
    }

    /// Tells whether a read is due; true once for each attempt.
    pub fn take_due(&mut self, now_ms: u64) -> bool {
        if self.is_answered || now_ms < self.next_ms {
            return false;
        }
        self.reads += 1;
        let delay_ms = RETRY_DELAY_MS.max(self.spread_ms);
        let jitter_ms = self.jitter_ms();
        self.next_ms = now_ms.saturating_add(delay_ms).saturating_add(jitter_ms);
        true
    }

    /// Notes that the service answered, so that no further read is needed.
    pub fn record_answer(&mut self) {
        self.is_answered = true;
    }

    fn jitter_ms(&self) -> u64 {
        xxh3_64_with_seed(&self.reads.to_le_bytes(), self.seed) % self.spread_ms.max(1)
    }
}
