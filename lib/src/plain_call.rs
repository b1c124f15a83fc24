//! Calls of plain services: repeatable calls, and calls that may run at most once.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use volo_http::body::Body;
use volo_http::request::Request;

use crate::AttemptNumber;
use crate::AttemptPolicy;
use crate::ContentFingerprint;
use crate::FrameEvent;
use crate::Outcome;
use crate::Placement;
use crate::RefusalCode;
use crate::agent_call::AgentCallError;
use crate::agent_call::CallTarget;
use crate::caller_error::CallerError;
use crate::caller_error::OUTCOME_HEADER;
use crate::caller_error::PLACEMENT_HEADER;
use crate::entry_server::EntryState;
use crate::entry_server::no_endpoint;
use crate::entry_server::respond;
use crate::event;
use crate::protos::control::CallRequest;
use crate::protos::control::IdempotentCall;

const KEY_HEADER: &str = "idempotency-key";
const ATTEMPT_HEADER: &str = "pomeloramp-attempt";
const PLAIN_KIND: &str = "plain";
const MAX_CALL_NAME_BYTES: usize = 64;
const MAX_KEY_BYTES: usize = 256;
const RETRY_AFTER_MS: u64 = 500;

/// Handles `POST /v1/services/{service}/{call}`.
pub(crate) async fn handle(
    state: Arc<EntryState>,
    service: String,
    call: String,
    request: Request,
) -> Response<Body> {
    let is_resend = is_resend(request.headers());
    let result = handle_request(&state, service, call, request).await;
    respond(result.map_err(|error| if is_resend { error.for_resend() } else { error }))
}

async fn handle_request(
    state: &EntryState,
    service: String,
    call: String,
    request: Request,
) -> Result<Response<Body>, CallerError> {
    let _guard = state.in_flight.enter();
    let arrived_at = Instant::now();
    let headers = request.headers().clone();
    let authorised = state.authorise(&service, &headers)?;
    EntryState::check_kind(&authorised.service, PLAIN_KIND)?;
    check_call_name(&call)?;
    let body = state.read_body(request).await?;
    let message = CallRequest {
        request_id: format!("{:016x}", rand::random::<u64>()),
        organisation: authorised.organisation.organisation.clone(),
        fingerprint: ContentFingerprint::of(&service, &body).0,
        service,
        call,
        body: body.to_vec(),
        content_type: header_text(&headers, CONTENT_TYPE.as_str())
            .unwrap_or("application/octet-stream")
            .to_owned(),
        deadline_ms: state.deadline_ms(&authorised.service),
        config_revision: state.config.load().revision,
        urgency: authorised.organisation.urgency,
        ..CallRequest::default()
    };
    state.check_content(ContentFingerprint(message.fingerprint))?;
    let organisation = message.organisation.clone();
    let result = if authorised.service.template().repeatable {
        run_repeatable(state, message).await
    } else {
        run_once(state, &headers, message).await
    };
    let outcome = match &result {
        Ok(_) => Outcome::Ran,
        Err(error) => error.outcome,
    };
    if outcome == Outcome::Unknown {
        event!(OutcomeUnknown, "organisation={organisation}");
    }
    state
        .metrics
        .record_request(&organisation, outcome.as_str(), arrived_at.elapsed());
    result
}

/// Runs a repeatable call, and sends it to another endpoint when one fails.
async fn run_repeatable(
    state: &EntryState,
    call: CallRequest,
) -> Result<Response<Body>, CallerError> {
    let mut attempts = state.attempts(&call, Bytes::new());
    loop {
        state.check_content(ContentFingerprint(call.fingerprint))?;
        let chosen = attempts.choose().await?;
        let mut message = call.clone();
        state.add_suspicion(&mut message);
        let result = receive(state, chosen.target(), message).await;
        attempts.record_finished(&chosen);
        let error = match result {
            Ok(ReceivedAnswer::Complete(response)) => return Ok(response),
            Ok(ReceivedAnswer::Failed(error)) => error,
            Err(AgentCallError::NotWritten { reason, .. }) => CallerError::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                RefusalCode::HomeUnreachable.as_str(),
                reason,
            )
            .retry_after_ms(RETRY_AFTER_MS),
            Err(error @ AgentCallError::Lost { .. }) => {
                CallerError::unknown(RefusalCode::HomeLost.as_str(), error.to_string())
                    .retry_after_ms(RETRY_AFTER_MS)
            }
        };
        if !attempts.may_retry().await {
            return Err(error);
        }
    }
}

/// Runs a call that may run at most once. Sends it once, to the agent that its placement assigns.
async fn run_once(
    state: &EntryState,
    headers: &HeaderMap,
    mut call: CallRequest,
) -> Result<Response<Body>, CallerError> {
    let key = idempotency_key(headers)?;
    let attempt = AttemptNumber::from_header(header_text(headers, ATTEMPT_HEADER))
        .map_err(|error| malformed(error.to_string()))?;
    let policy = AttemptPolicy::new(attempt, RETRY_AFTER_MS);
    let service = call.service.clone();
    let Some(encoded) = header_text(headers, PLACEMENT_HEADER) else {
        let message = "header \"Pomeloramp-Placement\" is missing";
        let error = CallerError::refused(&policy.placement_missing(), message);
        return Err(with_placement(state, &service, error).await);
    };
    let placement = match Placement::decode(encoded, state.peer_key.as_bytes(), &service) {
        Ok(placement) => placement,
        Err(error) => {
            event!(PlacementRefused, "service={service}: {error}");
            let refusal = policy.refuse_unwritten(RefusalCode::PlacementInvalid);
            let error = CallerError::refused(&refusal, error.to_string());
            return Err(with_placement(state, &service, error).await);
        }
    };
    let home = placement
        .home(&call.organisation, key)
        .ok_or_else(|| malformed("placement names no agent"))?;
    call.idempotent = Some(IdempotentCall {
        key: key.to_owned(),
        incarnation: home.incarnation,
        stamp_ms: home.stamp_ms,
        attempt: attempt.get(),
    });
    let target = CallTarget {
        vm_name: &home.vm_name,
        peer_address: &home.peer_address,
    };
    let error = match receive(state, target, call).await {
        Ok(ReceivedAnswer::Complete(response)) => return Ok(response),
        Ok(ReceivedAnswer::Failed(error)) => error,
        Err(AgentCallError::NotWritten { reason, .. }) => {
            let refusal = policy.refuse_unwritten(RefusalCode::HomeUnreachable);
            CallerError::refused(&refusal, reason)
        }
        Err(error @ AgentCallError::Lost { .. }) => {
            let refusal = policy.answer_lost(RefusalCode::HomeLost);
            CallerError::refused(&refusal, error.to_string())
        }
    };
    Err(with_placement(state, &service, error).await)
}

/// Adds a new placement to an error after which the caller may start the call again.
async fn with_placement(state: &EntryState, service: &str, error: CallerError) -> CallerError {
    let may_start_again = error.outcome == Outcome::NotRun && error.retry_after_ms > 0;
    if !may_start_again {
        return error;
    }
    let placement = fresh_placement(state, service).await.ok();
    error.placement(placement)
}

/// Creates a new placement over the usable agents of `service`, in its encoded form.
pub(crate) async fn fresh_placement(
    state: &EntryState,
    service: &str,
) -> Result<String, CallerError> {
    let homes = state.homes(service).await?;
    if homes.is_empty() {
        return Err(no_endpoint(service));
    }
    let revision = state.config.load().revision;
    let placement = Placement::new(service, revision, homes);
    Ok(placement.encode(state.peer_key.as_bytes()))
}

enum ReceivedAnswer {
    Complete(Response<Body>),
    Failed(CallerError),
}

/// Sends a call to one agent and receives its complete answer.
async fn receive(
    state: &EntryState,
    target: CallTarget<'_>,
    call: CallRequest,
) -> Result<ReceivedAnswer, AgentCallError> {
    let mut answer = state.open_call(target, call).await?;
    let mut response = Response::new(Body::empty());
    let mut body = Vec::new();
    loop {
        match answer.next().await? {
            FrameEvent::Head {
                status,
                content_type,
            } => {
                *response.status_mut() =
                    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                if let Ok(value) = HeaderValue::from_str(&content_type) {
                    response.headers_mut().insert(CONTENT_TYPE, value);
                }
            }
            FrameEvent::Data { payload, .. } => body.extend_from_slice(&payload),
            FrameEvent::Complete => {
                *response.body_mut() = Body::from(Bytes::from(body));
                let outcome = HeaderValue::from_static(Outcome::Ran.as_str());
                response.headers_mut().insert(OUTCOME_HEADER, outcome);
                return Ok(ReceivedAnswer::Complete(response));
            }
            FrameEvent::Failed(failure) => {
                return Ok(ReceivedAnswer::Failed(state.agent_failure(failure)));
            }
        }
    }
}

/// Returns whether the request is a resend of a call whose earlier sends may have run.
fn is_resend(headers: &HeaderMap) -> bool {
    let attempt = AttemptNumber::from_header(header_text(headers, ATTEMPT_HEADER));
    let is_first_send = attempt.is_ok_and(AttemptNumber::is_first_send);
    headers.contains_key(KEY_HEADER) && !is_first_send
}

fn idempotency_key(headers: &HeaderMap) -> Result<&str, CallerError> {
    let key = header_text(headers, KEY_HEADER)
        .ok_or_else(|| malformed("header \"Idempotency-Key\" is missing"))?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(malformed(format!(
            "header \"Idempotency-Key\" has {} bytes, not 1 to {MAX_KEY_BYTES}",
            key.len()
        )));
    }
    Ok(key)
}

/// Refuses a call name that could lead to another path of the endpoint.
fn check_call_name(call: &str) -> Result<(), CallerError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    if call.is_empty() || call.len() > MAX_CALL_NAME_BYTES || !call.bytes().all(is_allowed) {
        return Err(malformed(format!(
            "call {call:?} is not 1 to {MAX_CALL_NAME_BYTES} letters, digits, '-' or '_'"
        )));
    }
    Ok(())
}

fn malformed(message: impl Into<String>) -> CallerError {
    CallerError::not_run(StatusCode::BAD_REQUEST, "request-malformed", message)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
