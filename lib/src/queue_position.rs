//! Where a waiting request stands.

use pomeloramp_proc_macros::key;

/// Where a waiting request stands.
#[key]
pub(crate) struct QueuePosition {
    /// Index of the organisation's queue.
    pub(crate) organisation: usize,
    /// Position in the order of arrival.
    pub(crate) sequence: u64,
}
