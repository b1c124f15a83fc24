//! A refused call.

use http::StatusCode;
use serde_json::json;
use volo_http::response::Response;
use volo_http::server::IntoResponse;

use crate::http_answer::with_status;

/// A refused call, answered with its reason in JSON.
#[derive(Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    reason: String,
}

impl Refusal {
    /// Creates a refusal that is answered with `status`.
    pub(crate) fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
        }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        with_status(self.status, json!({ "error": self.reason }).to_string())
    }
}
