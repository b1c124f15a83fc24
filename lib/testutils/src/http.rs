//! Blocking HTTP requests for tests.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

const TIMEOUT: Duration = Duration::from_secs(15);

/// Creates a client that opens a new connection for each request, and returns responses with an
/// error status as responses, not errors.
#[must_use]
pub fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(0)
        .build()
        .into()
}

/// Sends a PUT request with `body`.
///
/// # Panics
///
/// Panics when the server does not answer, or answers with an error status.
pub fn put(url: &str, body: &str) {
    let response = agent(TIMEOUT)
        .put(url)
        .send(body)
        .unwrap_or_else(|error| panic!("PUT {url}: {error}"));
    assert!(
        response.status().is_success(),
        "PUT {url}: {}",
        response.status()
    );
}

/// Sends a GET request and returns the JSON answer, or `None` if there is no valid one.
#[must_use]
pub fn try_get(url: &str) -> Option<Value> {
    let mut response = agent(TIMEOUT).get(url).call().ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}
