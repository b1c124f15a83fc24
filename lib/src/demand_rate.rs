//! The rate of new calls for a service at this entry.

use crate::as_f64::as_f64;
use crate::as_f64::whole_part;

/// Time constant of the moving average.
const AVERAGED_MS: f64 = 10_000.0;
/// Factor by which the rate must change before it is reported anew, so that the parts of entries
/// under steady demand stay as they are.
const REPORTED_CHANGE: f64 = 2.0;
/// Least number of new calls in 10 s that is reported: fewer calls come too irregularly to tell two
/// entries apart.
const MIN_CALLS_PER_10_S: f64 = 10.0;
const CALLS_PER_10_S_PER_CALL_PER_MS: f64 = 10_000.0;

/// Time from the first count after which the rate is reported.
const FIRST_REPORT_MS: f64 = 3_000.0;

/// The rate of new calls for a service at this entry, as it is reported to the others.
#[derive(Debug, Default)]
pub(crate) struct DemandRate {
    calls: u32,
    /// Moving average that started at zero.
    calls_per_ms: f64,
    averaged_until_ms: u64,
    /// Time that the average covers.
    averaged_ms: f64,
    reported_per_10_s: Option<u32>,
}

impl DemandRate {
    /// Counts a new call.
    pub(crate) fn record(&mut self) {
        self.calls = self.calls.saturating_add(1);
    }

    /// Returns the new calls in 10 s, a few at least; the value changes only when demand has changed
    /// markedly. Returns `None` until it has been counted for some time.
    pub(crate) fn report(&mut self, now_ms: u64) -> Option<u32> {
        self.average(now_ms);
        if self.averaged_ms < FIRST_REPORT_MS {
            return None;
        }
        let weight_of_start = (-self.averaged_ms / AVERAGED_MS).exp();
        let calls_per_ms = self.calls_per_ms / (1.0 - weight_of_start);
        let per_10_s = (calls_per_ms * CALLS_PER_10_S_PER_CALL_PER_MS).max(MIN_CALLS_PER_10_S);
        let reported = f64::from(self.reported_per_10_s.unwrap_or(0));
        if per_10_s > reported * REPORTED_CHANGE || per_10_s * REPORTED_CHANGE < reported {
            self.reported_per_10_s = Some(whole_part(per_10_s.round()));
        }
        self.reported_per_10_s
    }

    /// Adds the calls since the last time to the average.
    fn average(&mut self, now_ms: u64) {
        let elapsed_ms = as_f64(now_ms.saturating_sub(self.averaged_until_ms));
        if elapsed_ms <= 0.0 {
            return;
        }
        let sample = f64::from(std::mem::take(&mut self.calls)) / elapsed_ms;
        let weight = 1.0 - (-elapsed_ms / AVERAGED_MS).exp();
        self.calls_per_ms += weight * (sample - self.calls_per_ms);
        self.averaged_until_ms = now_ms;
        self.averaged_ms += elapsed_ms;
    }
}
