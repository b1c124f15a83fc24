//! Tells when a signal may have been sent to a process that did not run for a while.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Interval at which a running process records that it runs.
pub(crate) const WAKE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of times that are kept. A signal that was sent earlier has been noticed, also on a busy
/// machine.
const KEPT_TIMES: usize = 4;
/// Time between two records from which the process counts as not running in between.
const MIN_GAP: Duration = Duration::from_millis(150);

/// The latest times at which a process ran.
///
/// A process that is stopped, or gets no processor time, notices a signal only when it runs again. The
/// sender counts from the signal, so the process has to count from the earliest time at which it may
/// have been sent: the beginning of the gap.
#[derive(Debug, Clone)]
pub struct WakeTimes {
    times: VecDeque<Instant>,
}

impl WakeTimes {
    /// Begins with the start of the process.
    #[must_use]
    pub fn new(started: Instant) -> Self {
        Self {
            times: VecDeque::from([started]),
        }
    }

    /// Records that the process runs; called every 50 ms while it does.
    pub fn record(&mut self, now: Instant) {
        self.times.push_back(now);
        if self.times.len() > KEPT_TIMES {
            self.times.pop_front();
        }
    }

    /// Returns the earliest time at which a signal may have been sent that is noticed at `noticed`.
    #[must_use]
    pub fn earliest_sent(&self, noticed: Instant) -> Instant {
        let later = self.times.iter().skip(1).copied();
        let later = later.chain([noticed]);
        let mut pairs = self.times.iter().copied().zip(later);
        let gap = pairs.find(|(from, until)| until.saturating_duration_since(*from) >= MIN_GAP);
        gap.map_or(noticed, |(from, _)| from)
    }
}
