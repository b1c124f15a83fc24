//! Parameters by which an entry predicts the delays at the endpoints of a service.

use crate::RouterSettings;

const US_PER_MS: u64 = 1_000;

/// One new sample has the weight `1 / MEAN_DIVISOR` in the mean slot occupancy.
const MEAN_DIVISOR: u64 = 32;

/// Parameters by which an entry predicts the delays at all endpoints of a service.
#[derive(Debug)]
pub(crate) struct LatencyModel {
    pub(crate) default_capacity: u32,
    pub(crate) default_prefill_tokens_per_s: u64,
    /// Entries that send to the endpoints, including this one.
    pub(crate) entry_count: u64,
    /// Moving average of the time for which one request occupies a slot of an endpoint.
    pub(crate) mean_occupancy_us: u64,
}

impl LatencyModel {
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        Self {
            default_capacity: settings.default_capacity,
            default_prefill_tokens_per_s: settings.default_prefill_tokens_per_s,
            entry_count: 1,
            mean_occupancy_us: settings.default_occupancy_ms * US_PER_MS,
        }
    }

    /// Updates the mean with the time for which a request occupied a slot.
    pub(crate) fn record_occupancy(&mut self, occupied_us: u64) {
        self.mean_occupancy_us -= self.mean_occupancy_us / MEAN_DIVISOR;
        self.mean_occupancy_us += occupied_us / MEAN_DIVISOR;
    }
}
