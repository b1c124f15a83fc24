//! Queries for the dispatcher of an entry, and what it decides on them.

use std::sync::Arc;

use pomeloramp_lib::DirectDispatcher;
use pomeloramp_lib::DispatchDecision;
use pomeloramp_lib::DispatchQuery;
use pomeloramp_lib::EndpointRecord;
use pomeloramp_lib::RetryAllowance;
use pomeloramp_lib::SendResult;
use rand::SeedableRng;
use rand::rngs::SmallRng;

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

/// Returns the record of an endpoint that stays, of the run that started at `born_ms`.
#[must_use]
pub fn endpoint(id: &str, born_ms: u64, slots: u32) -> Arc<EndpointRecord> {
    Arc::new(EndpointRecord {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: format!("{id}:80"),
        availability_zone: "zone-1".to_owned(),
        slots,
        is_leaving: false,
        born_ms,
    })
}

/// Returns a dispatcher with the first runs of endpoints.
#[must_use]
pub fn dispatcher(ids: &[&str], slots: u32) -> DirectDispatcher {
    let mut dispatcher =
        DirectDispatcher::new("zone-1", RETRY_ALLOWANCE, SmallRng::seed_from_u64(1));
    let endpoints: Vec<_> = ids.iter().map(|id| endpoint(id, 1, slots)).collect();
    dispatcher.set_endpoints(&endpoints, 0);
    dispatcher
}

/// Returns the endpoints to which calls go, one after the other, each of which is answered.
pub fn sent(dispatcher: &mut DirectDispatcher, count: u64, now_ms: u64) -> Vec<String> {
    let numbers = 1_000..1_000 + count;
    let ids = numbers.filter_map(|number| {
        let decision = dispatcher.request_endpoint(query(number, now_ms), now_ms);
        let id = sent_to(decision.as_ref()).map(str::to_owned);
        dispatcher.end(number, SendResult::Answered, now_ms);
        id
    });
    ids.collect()
}
