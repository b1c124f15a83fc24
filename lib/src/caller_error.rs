//! Errors as callers see them.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Serialize;
use volo_http::body::Body;

use crate::outcome::Outcome;

/// Header that carries the outcome of a request.
pub(crate) const OUTCOME_HEADER: &str = "pomeloramp-outcome";
/// Header that carries a fresh placement beside an error.
pub(crate) const PLACEMENT_HEADER: &str = "pomeloramp-placement";

/// A final answer that is not a whole result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CallerError {
    #[serde(skip)]
    pub(crate) status: StatusCode,
    /// What became of the request.
    pub outcome: Outcome,
    /// Stable code.
    pub code: String,
    /// Text for people.
    pub message: String,
    /// When to come back, in milliseconds; zero when coming back does not help.
    pub retry_after_ms: u64,
    #[serde(skip)]
    pub(crate) placement: Option<String>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a CallerError,
}

impl CallerError {
    /// Creates an error for a request that was not run.
    pub(crate) fn not_run(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            code: code.to_owned(),
            message: message.into(),
            retry_after_ms: 0,
            placement: None,
        }
    }

    /// Creates an error for a request of which nothing certain is known.
    pub(crate) fn unknown(code: &str, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(StatusCode::BAD_GATEWAY, code, message)
        }
    }

    /// Sets when to come back.
    pub(crate) fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self
    }

    /// Adds a fresh placement, under which the call may begin anew.
    pub(crate) fn placement(mut self, placement: Option<String>) -> Self {
        self.placement = placement;
        self
    }

    /// Returns the JSON body.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(&ErrorBody { error: self })
            .expect("an error of strings and numbers serialises")
    }

    /// Builds the HTTP response.
    pub(crate) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::from(Bytes::from(self.to_json())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if self.retry_after_ms > 0 {
            let seconds = self.retry_after_ms.div_ceil(1000);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(placement) = self.placement
            && let Ok(value) = HeaderValue::from_str(&placement)
        {
            headers.insert(PLACEMENT_HEADER, value);
        }
        response
    }
}
