//! A final answer of the entry itself.

use http::StatusCode;
use pomeloramp_proc_macros::value;

/// A final answer of the entry itself to a directly sent call.
#[value]
pub struct DirectRefusal {
    /// Status of the answer. Only statuses that promise that the call did not run and never will
    /// are used for calls that were not run.
    pub status: StatusCode,
    /// Stable code.
    pub code: &'static str,
    /// Text for people.
    pub message: String,
    /// When to come back; absent when coming back does not help or nothing is promised.
    pub retry_after_ms: Option<u64>,
}

impl DirectRefusal {
    /// Makes the answer to a call that can't be served whenever it comes.
    #[must_use]
    pub fn rejected(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Makes the answer to a call that did not run and never will, but may be sent anew.
    #[must_use]
    pub fn not_run(code: &'static str, message: impl Into<String>, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..Self::rejected(StatusCode::SERVICE_UNAVAILABLE, code, message)
        }
    }

    /// Makes the answer to a call that may have run and whose answer is lost.
    #[must_use]
    pub fn lost(code: &'static str, message: impl Into<String>) -> Self {
        Self::rejected(StatusCode::BAD_GATEWAY, code, message)
    }

    /// Makes the answer to a call that was sent and not answered in time.
    #[must_use]
    pub fn late(message: impl Into<String>) -> Self {
        Self::rejected(StatusCode::GATEWAY_TIMEOUT, "deadline-passed", message)
    }
}
