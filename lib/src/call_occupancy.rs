//! How full the call registry is.

use pomeloramp_proc_macros::key;

/// How full a [`CallRegistry`](crate::CallRegistry) is.
#[key]
pub struct CallOccupancy {
    /// Calls that are running or whose answers are held.
    pub records: usize,
    /// Calls that are running.
    pub running: usize,
    /// Voided calls that are remembered one by one.
    pub voids: usize,
    /// Calls that are remembered by digest only.
    pub digests: usize,
    /// Bytes of all held answers.
    pub answer_bytes: u64,
    /// Stamp up to which calls without a record are refused, in milliseconds.
    pub void_floor_ms: Option<u64>,
}
