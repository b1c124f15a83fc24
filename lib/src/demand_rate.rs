//! The rate of new calls for a service at this entry.

use crate::as_f64::as_f64;
use crate::as_f64::whole_part;

/// Time constant of the moving average.
const AVERAGED_MS: f64 = 5_000.0;
/// Factor by which the rate must change before it is reported anew, so that the parts of entries
/// under steady demand stay as they are.
const REPORTED_CHANGE: f64 = 1.5;
const CALLS_PER_10_S_PER_CALL_PER_MS: f64 = 10_000.0;

/// The rate of new calls for a service at this entry, as it is reported to the others.
#[derive(Debug, Default)]
pub(crate) struct DemandRate {
    calls: u32,
    calls_per_ms: f64,
    averaged_until_ms: u64,
    reported_per_10_s: u32,
}

impl DemandRate {
    /// Counts a new call.
    pub(crate) fn record(&mut self) {
        self.calls = self.calls.saturating_add(1);
    }

    /// Returns the new calls in 10 s, one at least; the value changes only when demand has changed
    /// markedly.
    pub(crate) fn report(&mut self, now_ms: u64) -> u32 {
        let elapsed_ms = as_f64(now_ms.saturating_sub(self.averaged_until_ms));
        if elapsed_ms > 0.0 {
            let sample = f64::from(std::mem::take(&mut self.calls)) / elapsed_ms;
            let weight = 1.0 - (-elapsed_ms / AVERAGED_MS).exp();
            self.calls_per_ms += weight * (sample - self.calls_per_ms);
            self.averaged_until_ms = now_ms;
        }
        let per_10_s = (self.calls_per_ms * CALLS_PER_10_S_PER_CALL_PER_MS).max(1.0);
        let reported = f64::from(self.reported_per_10_s);
        if per_10_s > reported * REPORTED_CHANGE || per_10_s * REPORTED_CHANGE < reported {
            self.reported_per_10_s = whole_part(per_10_s.round());
        }
        self.reported_per_10_s
    }
}
