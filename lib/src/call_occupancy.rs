//! Occupancy of the call registry.

use pomeloramp_proc_macros::key;

/// Number of entries and bytes that a [`CallRegistry`](crate::CallRegistry) holds.
#[key]
pub struct CallOccupancy {
    /// Calls that are running or ended within the answer window.
    pub records: usize,
    /// Calls that are running.
    pub running: usize,
    /// Voided calls with an entry of their own, as opposed to those covered by `void_floor_ms`.
    pub voids: usize,
    /// Calls of which only a digest is left.
    pub digests: usize,
    /// Bytes of all stored answers.
    pub answer_bytes: u64,
    /// Placement timestamp up to which every call without a record counts as voided, in
    /// milliseconds.
    pub void_floor_ms: Option<u64>,
}
