//! Use of the capacity of one endpoint by one organisation.

use pomeloramp_proc_macros::value;

/// Use of the capacity of one endpoint by one organisation, in slot-milliseconds.
///
/// Summed over all organisations, `used_ms + lent_ms + idle_ms` equals the elapsed time multiplied
/// by the number of slots, and the sums of `lent_ms` and `borrowed_ms` are equal.
#[value]
#[derive(Default)]
pub struct CapacityAccount {
    /// Organisation; empty for capacity of which no organisation declares a share.
    pub organisation: String,
    /// Own capacity that the organisation used.
    pub used_ms: u64,
    /// Own capacity that other organisations used.
    pub lent_ms: u64,
    /// Own capacity that no organisation used.
    pub idle_ms: u64,
    /// Capacity of other organisations that this organisation used.
    pub borrowed_ms: u64,
}

impl CapacityAccount {
    /// Returns the slot-milliseconds that the organisation owned.
    #[must_use]
    pub fn owned_ms(&self) -> u64 {
        self.used_ms + self.lent_ms + self.idle_ms
    }
}
