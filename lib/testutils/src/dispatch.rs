//! Queries for the dispatcher of an entry, and what it decides on them.

use pomeloramp_lib::DispatchDecision;
use pomeloramp_lib::DispatchQuery;
use pomeloramp_lib::RetryAllowance;

/// Retries that a small fleet may make.
pub const RETRY_ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    slack: 90.0,
    window_ms: 10_000,
};
/// Service that the queries ask for.
pub const SERVICE: &str = "drafts";

/// Returns the query of a stream that may wait for a while.
#[must_use]
pub fn query(call: u64, now_ms: u64) -> DispatchQuery {
    DispatchQuery::builder()
        .call(call)
        .service(SERVICE.to_owned())
        .urgency(5)
        .is_stream(true)
        .on_time_until_ms(now_ms + 400)
        .useful_until_ms(now_ms + 1_200)
        .build()
}

/// Returns the id of the endpoint that a call was sent to.
#[must_use]
pub fn sent_to(decision: Option<&DispatchDecision>) -> Option<&str> {
    match decision {
        Some(DispatchDecision::Send(record)) => Some(record.id.as_str()),
        Some(DispatchDecision::Refuse { .. }) | None => None,
    }
}
