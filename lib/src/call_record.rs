//! Record of one call that may run at most once.

use pomeloramp_proc_macros::value;

use crate::StoredAnswer;

/// State of a recorded call.
#[value]
pub(crate) enum CallState {
    /// Admitted, and its end not reported yet.
    Running,
    /// Ran. The answer is absent when it exceeded the memory budget.
    Ran(Option<StoredAnswer>),
    /// Whether the call ran at the endpoint is unknown.
    Lost,
}

/// Record of one call that may run at most once.
#[value]
pub(crate) struct CallRecord {
    pub(crate) body_digest: u64,
    /// Latest placement timestamp of the sends that matched this record, in milliseconds.
    pub(crate) stamp_ms: u64,
    pub(crate) state: CallState,
}
