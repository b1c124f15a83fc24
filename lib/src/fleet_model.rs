//! What an entry assumes of all endpoints of a service.

use crate::RouterSettings;

const US_PER_MS: u64 = 1_000;

/// Weight of one new sample in the mean duration of requests, as a divisor.
const MEAN_DIVISOR: u64 = 32;

/// What an entry assumes of all endpoints of a service.
#[derive(Debug)]
pub(crate) struct FleetModel {
    pub(crate) default_capacity: u32,
    pub(crate) default_prefill_tokens_per_s: u64,
    /// Entries that send to the endpoints, this one included.
    pub(crate) entry_count: u64,
    /// Time for which one request occupies a slot of an endpoint.
    pub(crate) mean_occupancy_us: u64,
}

impl FleetModel {
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        Self {
            default_capacity: settings.default_capacity,
            default_prefill_tokens_per_s: settings.default_prefill_tokens_per_s,
            entry_count: 1,
            mean_occupancy_us: settings.default_occupancy_ms * US_PER_MS,
        }
    }

    /// Takes in the time for which a request occupied a slot.
    pub(crate) fn note_request(&mut self, occupied_us: u64) {
        self.mean_occupancy_us -= self.mean_occupancy_us / MEAN_DIVISOR;
        self.mean_occupancy_us += occupied_us / MEAN_DIVISOR;
    }
}
