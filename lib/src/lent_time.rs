//! Capacity that one organisation lent to another.

use pomeloramp_proc_macros::value;

/// Capacity that one organisation lent to another at one endpoint.
#[value]
pub struct LentTime<'a> {
    /// Organisation that owned the capacity; empty if no organisation declares a share of it.
    pub owner: &'a str,
    /// Organisation that used it.
    pub borrower: &'a str,
    /// Slot-milliseconds lent.
    pub lent_ms: u64,
}
