//! Counting and limiting of calls on the configuration service.

use std::time::Duration;
use std::time::Instant;

use pomeloramp_proc_macros::document;

const WINDOW: Duration = Duration::from_secs(1);

/// Counts that the platform shows to tests.
#[document]
#[derive(Default)]
pub(crate) struct CallCounts {
    pub(crate) config_values: u64,
    pub(crate) config_watches: u64,
    pub(crate) config_refused: u64,
    pub(crate) vm_list: u64,
    /// Most calls on the configuration service within one second.
    pub(crate) config_peak_per_s: u64,
}

/// Admits a bounded number of calls in each second; a watch counts once, however long it waits.
#[derive(Debug)]
pub(crate) struct CallMeter {
    limit_per_s: u64,
    window_start: Instant,
    calls_in_window: u64,
    pub(crate) counts: CallCounts,
}

impl CallMeter {
    /// Creates a meter that admits `limit_per_s` calls a second.
    pub(crate) fn new(limit_per_s: u64, now: Instant) -> Self {
        Self {
            limit_per_s,
            window_start: now,
            calls_in_window: 0,
            counts: CallCounts::default(),
        }
    }

    /// Counts a call and returns whether it is within the limit.
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.calls_in_window = 0;
        }
        self.calls_in_window += 1;
        self.counts.config_peak_per_s = self.counts.config_peak_per_s.max(self.calls_in_window);
        let admitted = self.calls_in_window <= self.limit_per_s;
        if !admitted {
            self.counts.config_refused += 1;
        }
        admitted
    }
}
