//! How long the work at an endpoint will take.

use pomeloramp_proc_macros::key;

/// How long the work at an endpoint will take, from expected run times.
#[key]
pub(crate) struct WorkEstimate {
    pub(crate) capacity: u32,
    /// Slot time that running requests still need.
    pub(crate) running_ms: u64,
    /// Slot time that waiting requests need.
    pub(crate) waiting_ms: u64,
}

impl WorkEstimate {
    /// Returns the time in which the endpoint does all work present.
    pub(crate) fn all_ms(self) -> u64 {
        self.running_ms.saturating_add(self.waiting_ms) / self.slots()
    }

    /// Returns the time in which a declared share does one organisation's waiting work, or that for
    /// all work if it is shorter.
    pub(crate) fn own_ms(self, own_waiting_ms: u64, weight: u32, total_weight: u64) -> u64 {
        if weight == 0 {
            return self.all_ms();
        }
        let rate = u128::from(self.slots()) * u128::from(weight);
        let own_ms = u128::from(own_waiting_ms) * u128::from(total_weight) / rate;
        let own_ms = u64::try_from(own_ms).unwrap_or(u64::MAX);
        let running_ms = self.running_ms / self.slots();
        self.all_ms().min(running_ms.saturating_add(own_ms))
    }

    fn slots(self) -> u64 {
        u64::from(self.capacity.max(1))
    }
}
