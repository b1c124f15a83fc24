//! Position of a queued request.

use pomeloramp_proc_macros::key;

/// Position of a queued request.
#[key]
pub(crate) struct QueuePosition {
    /// Index of the organisation's queue.
    pub(crate) organisation: usize,
    /// Position in the order of arrival within the queue.
    pub(crate) sequence: u64,
}
