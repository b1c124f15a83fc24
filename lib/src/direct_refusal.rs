//! A final answer that an entry gives in place of an endpoint.

use http::StatusCode;
use pomeloramp_proc_macros::value;

/// A final answer that an entry gives in place of an endpoint.
#[value]
pub struct DirectRefusal {
    /// HTTP status. A call that did not run gets only a status that promises that it did not and
    /// never will.
    pub status: StatusCode,
    /// Stable code for programs.
    pub code: &'static str,
    /// Text for people.
    pub message: String,
    /// Delay before a retry; absent when a retry does not help or the call may have run.
    pub retry_after_ms: Option<u64>,
}

impl DirectRefusal {
    /// Creates the answer to a call that no retry can make valid.
    #[must_use]
    pub fn rejected(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates the answer to a call that did not run and never will, but may be sent again.
    #[must_use]
    pub fn not_run(code: &'static str, message: impl Into<String>, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..Self::rejected(StatusCode::SERVICE_UNAVAILABLE, code, message)
        }
    }

    /// Creates the answer to a call that may have run and whose answer is lost.
    #[must_use]
    pub fn lost(code: &'static str, message: impl Into<String>) -> Self {
        Self::rejected(StatusCode::BAD_GATEWAY, code, message)
    }

    /// Creates the answer to a call that was sent but not answered before its deadline.
    #[must_use]
    pub fn late(message: impl Into<String>) -> Self {
        Self::rejected(StatusCode::GATEWAY_TIMEOUT, "deadline-passed", message)
    }
}
