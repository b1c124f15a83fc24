//! Capacity-time of one organisation at one endpoint.

use pomeloramp_proc_macros::value;

/// Capacity-time of one organisation at one endpoint, in slot-milliseconds.
///
/// Over all organisations, `used_ms + lent_ms + idle_ms` is the time that passed times the capacity,
/// and the sums of `lent_ms` and `borrowed_ms` are equal.
#[value]
#[derive(Default)]
pub struct CapacityAccount {
    /// Organisation, empty for capacity of which nobody declares a share.
    pub organisation: String,
    /// Own capacity that the organisation used.
    pub used_ms: u64,
    /// Own capacity that others used.
    pub lent_ms: u64,
    /// Own capacity that nobody used.
    pub idle_ms: u64,
    /// Others' capacity that the organisation used.
    pub borrowed_ms: u64,
}

impl CapacityAccount {
    /// Returns the capacity-time that the organisation owned.
    #[must_use]
    pub fn owned_ms(&self) -> u64 {
        self.used_ms + self.lent_ms + self.idle_ms
    }
}
