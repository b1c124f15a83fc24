//! Errors in answers to callers.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Serialize;
use volo_http::body::Body;

use crate::Outcome;
use crate::Refusal;
use crate::RefusalCode;
use crate::RetryAdvice;

/// Response header with the outcome of a request.
pub(crate) const OUTCOME_HEADER: &str = "pomeloramp-outcome";
/// Header with a placement, in a caller's request or in an error response.
pub(crate) const PLACEMENT_HEADER: &str = "pomeloramp-placement";

const MS_PER_S: u64 = 1000;

/// Error that a caller receives in place of a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct CallerError {
    #[serde(skip)]
    pub(crate) status: StatusCode,
    /// Whether the request ran.
    pub(crate) outcome: Outcome,
    /// Stable error code.
    pub(crate) code: String,
    /// Human-readable message.
    pub(crate) message: String,
    /// Retry delay in milliseconds, zero when a retry can't succeed.
    pub(crate) retry_after_ms: u64,
    #[serde(skip)]
    pub(crate) placement: Option<String>,
    /// Whether an agent reported the outcome, which then holds for every send of the call.
    #[serde(skip)]
    is_reported_by_agent: bool,
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
            is_reported_by_agent: false,
        }
    }

    /// Creates an error for a request that may have run.
    pub(crate) fn unknown(code: &str, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(StatusCode::BAD_GATEWAY, code, message)
        }
    }

    /// Creates the error for a refused call.
    pub(crate) fn refused(refusal: &Refusal, message: impl Into<String>) -> Self {
        let retry_after_ms = match refusal.retry {
            RetryAdvice::Never => 0,
            RetryAdvice::FreshPlacement { after_ms } | RetryAdvice::SamePlacement { after_ms } => {
                after_ms.max(1)
            }
        };
        Self {
            outcome: refusal.outcome,
            retry_after_ms,
            ..Self::not_run(status_of(refusal), refusal.code.as_str(), message)
        }
    }

    /// Creates the error for a call that its agent ended without a complete answer.
    pub(crate) fn from_agent(
        outcome: Outcome,
        code: &str,
        message: String,
        retry_after_ms: u64,
    ) -> Self {
        let status = match outcome {
            Outcome::Ran => StatusCode::GONE,
            Outcome::NotRun => status_of_code(code),
            Outcome::Unknown => StatusCode::BAD_GATEWAY,
        };
        Self {
            outcome,
            retry_after_ms,
            is_reported_by_agent: true,
            ..Self::not_run(status, code, message)
        }
    }

    /// Changes an outcome "not run" that this entry determined for a resend to "unknown", because
    /// an earlier send may have run. An outcome that an agent reported stays.
    pub(crate) fn for_resend(mut self) -> Self {
        if self.outcome == Outcome::NotRun && !self.is_reported_by_agent {
            self.outcome = Outcome::Unknown;
            self.placement = None;
        }
        self
    }

    /// Sets the retry delay.
    pub(crate) fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Adds a new placement, under which the caller may start the call again.
    pub(crate) fn placement(mut self, placement: Option<String>) -> Self {
        self.placement = placement;
        self
    }

    /// Returns the JSON body.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(&ErrorBody { error: self })
            .expect("an error of strings and numbers is serialisable")
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
            let seconds = self.retry_after_ms.div_ceil(MS_PER_S);
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

fn status_of(refusal: &Refusal) -> StatusCode {
    match refusal.outcome {
        Outcome::Unknown => StatusCode::BAD_GATEWAY,
        Outcome::Ran | Outcome::NotRun => status_of_code(refusal.code.as_str()),
    }
}

fn status_of_code(code: &str) -> StatusCode {
    let is = |refusal_code: RefusalCode| refusal_code.as_str() == code;
    if is(RefusalCode::PlacementInvalid) {
        StatusCode::BAD_REQUEST
    } else if is(RefusalCode::KeyReused)
        || is(RefusalCode::PlacementRequired)
        || is(RefusalCode::PlacementExpired)
        || is(RefusalCode::CallVoided)
    {
        StatusCode::CONFLICT
    } else if is(RefusalCode::OrganisationLimit) {
        StatusCode::TOO_MANY_REQUESTS
    } else if is(RefusalCode::Quarantined) {
        StatusCode::UNPROCESSABLE_ENTITY
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
