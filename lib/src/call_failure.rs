//! Failure with which an agent ended a call.

use pomeloramp_proc_macros::value;

use crate::Outcome;
use crate::protos::control::QuarantineEntry;

/// Final frame of an agent that ended a call without a complete answer.
#[value]
pub struct CallFailure {
    /// Whether the call ran.
    pub outcome: Outcome,
    /// Stable error code.
    pub code: String,
    /// Error text for the caller.
    pub message: String,
    /// Advised retry delay in milliseconds, zero when a retry can't succeed.
    pub retry_after_ms: u64,
    /// The agent's quarantine entry of the content after an endpoint crashed under the call.
    pub quarantined: Vec<QuarantineEntry>,
}
