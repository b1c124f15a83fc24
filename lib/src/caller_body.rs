//! Reads the body of a caller's request, with limits on size and time.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use http_body_util::Limited;
use snafu::Snafu;
use volo_http::request::Request;

/// Error while reading the body of a caller's request.
#[derive(Debug, Snafu)]
pub(crate) enum CallerBodyError {
    /// The body exceeds the size limit.
    #[snafu(display("body is larger than {limit_bytes} bytes"))]
    TooLarge {
        /// Maximum size of a body.
        limit_bytes: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("body did not arrive within {timeout_ms} ms"))]
    Timeout {
        /// The timeout.
        timeout_ms: u128,
    },
    /// The connection broke, or the body is malformed.
    #[snafu(display("body ended early or is malformed"))]
    Broken,
}

/// Reads the body of `request`, which may have at most `limit_bytes` and must arrive within
/// `timeout`.
///
/// # Errors
///
/// Fails if the body is too large, does not arrive in time or is malformed.
pub(crate) async fn read_body(
    request: Request,
    limit_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, CallerBodyError> {
    let declared_bytes = request
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    if declared_bytes.is_some_and(|body_bytes| body_bytes > limit_bytes) {
        return TooLargeSnafu { limit_bytes }.fail();
    }
    let body = Limited::new(request.into_body(), limit_bytes).collect();
    let collected = tokio::time::timeout(timeout, body).await;
    let timeout_ms = timeout.as_millis();
    let collected = collected.map_err(|_| CallerBodyError::Timeout { timeout_ms })?;
    let body = collected.map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            CallerBodyError::TooLarge { limit_bytes }
        } else {
            CallerBodyError::Broken
        }
    })?;
    Ok(body.to_bytes())
}
