//! Estimate of the time that an endpoint needs for its admitted requests.

use pomeloramp_proc_macros::key;

/// Estimate of the time that an endpoint needs for its admitted requests, from their expected run
/// times.
#[key]
pub(crate) struct WorkEstimate {
    pub(crate) capacity: u32,
    /// Slot time that the running requests still need.
    pub(crate) running_ms: u64,
    /// Slot time that the queued requests need.
    pub(crate) queued_ms: u64,
}

impl WorkEstimate {
    /// Returns the time to process all admitted requests.
    pub(crate) fn total_ms(self) -> u64 {
        self.running_ms.saturating_add(self.queued_ms) / self.slots()
    }

    /// Returns the time to process the queued requests of one organisation with its declared share,
    /// or the time for all requests if that is shorter.
    pub(crate) fn share_ms(self, own_queued_ms: u64, weight: u32, total_weight: u64) -> u64 {
        if weight == 0 {
            return self.total_ms();
        }
        let rate = u128::from(self.slots()) * u128::from(weight);
        let own_ms = u128::from(own_queued_ms) * u128::from(total_weight) / rate;
        let own_ms = u64::try_from(own_ms).unwrap_or(u64::MAX);
        let running_ms = self.running_ms / self.slots();
        self.total_ms().min(running_ms.saturating_add(own_ms))
    }

    fn slots(self) -> u64 {
        u64::from(self.capacity.max(1))
    }
}
