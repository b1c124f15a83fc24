//! Record of one call that may not be repeated.

use pomeloramp_proc_macros::value;

use crate::StoredAnswer;

/// How far a recorded call has come.
#[value]
pub(crate) enum CallState {
    /// Given to the endpoint and not ended.
    Running,
    /// Ran; the answer is absent when it did not fit into the budget.
    Ran(Option<StoredAnswer>),
    /// Its end at the endpoint was not seen.
    Lost,
}

/// Record of one call that may not be repeated.
#[value]
pub(crate) struct CallRecord {
    pub(crate) body_digest: u64,
    /// Latest stamp of any send that was answered from this record, in milliseconds.
    pub(crate) stamp_ms: u64,
    pub(crate) state: CallState,
}
