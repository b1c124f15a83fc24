//! How an agent ended a call without a whole answer.

use pomeloramp_proc_macros::value;

use crate::Outcome;
use crate::protos::control::QuarantineEntry;

/// How an agent ended a call without a whole answer.
#[value]
pub struct CallFailure {
    /// What became of the call.
    pub outcome: Outcome,
    /// Stable error code.
    pub code: String,
    /// Text for the caller.
    pub message: String,
    /// Advised delay in milliseconds, zero when sending again cannot help.
    pub retry_after_ms: u64,
    /// What the agent holds against the content after a crash.
    pub quarantined: Vec<QuarantineEntry>,
}
