//! What entries log of calls while they drain, and of those in flight at the end, which SIGKILL may cut.

use std::collections::HashMap;

use tokio::time::Instant;

use crate::RouteRule;
use crate::as_ms::as_ms;
use crate::call_progress::CallIdentity;
use crate::call_progress::CallPosition;
use crate::call_progress::CallProgress;
use crate::caller_connection::CallerConnection;
use crate::calls_in_flight::CallInFlight;
use crate::direct_state::DirectState;
use crate::event;

/// Most calls that are listed at the end of a drain.
pub(crate) const MAX_LISTED_CALLS: usize = 64;

/// Logs a line for each call in flight, the latest first, since those are the least excused to be cut.
pub(crate) fn log_calls_in_flight(state: &DirectState, calls: &[CallProgress]) {
    let now = Instant::now();
    let endpoint_events = latest_events(calls, |_, position| position.endpoint.clone());
    let service_events = latest_events(calls, |identity, _| Some(identity.service.clone()));
    for call in calls.iter().take(MAX_LISTED_CALLS) {
        let position = call.position();
        let endpoint = position.endpoint.as_deref().unwrap_or("none");
        let identity = &call.identity;
        event!(
            CallOutlastsDrain,
            "request_id={} route={} service={} endpoint={endpoint} attempts={} arrived_ms={} \
             sent_ms={} taken_by={} left_ms={} event_age_ms={} endpoint_event_age_ms={} \
             service_event_age_ms={} group_still={} draining_ms={}",
            identity.request_id,
            identity.route,
            identity.service,
            position.attempts,
            state.drain.since_signal_ms(identity.arrived),
            sent_ms(state, &position),
            call.clause_name(),
            as_ms(identity.deadline.saturating_duration_since(now)),
            age_ms(position.last_event.as_ref(), now),
            age_ms(endpoint_events.get(endpoint), now),
            age_ms(service_events.get(&identity.service), now),
            is_group_still(state, &identity.service),
            state.drain.elapsed_ms()
        );
    }
}

/// Returns the log fields of a call that a draining entry sends: the times since the signal to shut down and
/// since its connection was accepted, the time until all calls should have ended, and the longest that the
/// latest calls of its route took.
pub(crate) fn send_fields(
    state: &DirectState,
    call: &CallInFlight,
    connection: &CallerConnection,
    rule: &RouteRule,
) -> String {
    let Some(draining) = state.drain.elapsed() else {
        return String::new();
    };
    format!(
        " draining_ms={} taken_by={} connection_ms={} drain_left_ms={} longest_ms={}",
        draining.as_millis(),
        call.progress().clause_name(),
        connection.accepted.elapsed().as_millis(),
        as_ms(state.drain.time_left().unwrap_or_default()),
        state.longest_call_ms(rule)
    )
}

/// Returns the log fields of a call that ends at a draining entry: the time since the signal to shut down,
/// when the call arrived and by which clause it was taken, and whether its rank group stands still.
pub(crate) fn end_fields(state: &DirectState, call: &CallInFlight, arrived: Instant) -> String {
    let drain = &state.drain;
    if drain.elapsed().is_none() {
        return String::new();
    }
    let progress = call.progress();
    format!(
        " draining_ms={} arrived_ms={} taken_by={} group_still={}",
        drain.elapsed_ms(),
        drain.since_signal_ms(arrived),
        progress.clause_name(),
        is_group_still(state, &progress.identity.service)
    )
}

/// Returns the time of the latest event of the calls in flight, by a key of the call.
fn latest_events(
    calls: &[CallProgress],
    key: fn(&CallIdentity, &CallPosition) -> Option<String>,
) -> HashMap<String, Instant> {
    let mut latest = HashMap::new();
    for call in calls {
        let position = call.position();
        let (Some(key), Some(event)) = (key(&call.identity, &position), position.last_event) else {
            continue;
        };
        let known = latest.entry(key).or_insert(event);
        *known = event.max(*known);
    }
    latest
}

/// Returns when a call was first sent, relative to the signal.
fn sent_ms(state: &DirectState, position: &CallPosition) -> String {
    let sent = position.first_sent;
    sent.map_or("none".to_owned(), |sent| state.drain.since_signal_ms(sent))
}

/// Returns whether the rank group of a service is known to be stalled or down.
fn is_group_still(state: &DirectState, service: &str) -> bool {
    state.down_services.borrow().contains(service)
}

fn age_ms(event: Option<&Instant>, now: Instant) -> String {
    event.map_or("none".to_owned(), |event| {
        as_ms(now.saturating_duration_since(*event)).to_string()
    })
}
