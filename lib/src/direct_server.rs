//! Serves the requests of callers that an entry sends to endpoints directly.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::request;
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::request::Request;

use crate::ContentFingerprint;
use crate::CrashSuspect;
use crate::DirectCall;
use crate::DirectRefusal;
use crate::OrganisationRule;
use crate::PromptPart;
use crate::RouteRule;
use crate::RouteTable;
use crate::as_ms::as_ms;
use crate::call_progress::CallIdentity;
use crate::call_timeouts::CallTimeouts;
use crate::caller_body;
use crate::caller_body::CallerBodyError;
use crate::caller_connection::CallerConnection;
use crate::direct_relay::DirectRelay;
use crate::direct_state::DirectState;
use crate::direct_stream;
use crate::event;
use crate::stream_times::StreamTimes;

/// Retry delay of a call at an entry that has no configuration yet.
const NO_CONFIG_RETRY_MS: u64 = 700;

/// Serves one request of a caller.
pub(crate) async fn handle(state: Arc<DirectState>, request: Request) -> Response<Body> {
    match serve(&state, request).await {
        Ok(response) => response,
        Err(refusal) => (state.protocol.refuse)(&refusal),
    }
}

/// Checks one request and relays it to an endpoint.
async fn serve(
    state: &Arc<DirectState>,
    request: Request,
) -> Result<Response<Body>, DirectRefusal> {
    let arrived = Instant::now();
    let guard = state.in_flight.enter();
    let table = state.table().ok_or_else(|| {
        let message = "entry has no configuration yet";
        DirectRefusal::not_run("configuration-missing", message, NO_CONFIG_RETRY_MS)
    })?;
    let (head, body) = request.into_parts();
    let connection = head.extensions.get().copied();
    let connection = connection.unwrap_or(CallerConnection { accepted: arrived });
    let call = (state.protocol.read_call)(&head).inspect_err(|refusal| {
        event!(
            CallRejected,
            "code={} reason=\"{}\"",
            refusal.code,
            refusal.message
        );
    })?;
    let found = find_route(&table, &call, head.uri.path()).inspect_err(|refusal| {
        event!(
            CallRejected,
            "request_id={} code={} config_revision={}",
            call.request_id,
            refusal.code,
            table.revision()
        );
    });
    let (rule, organisation) = found?;
    let limit_ms = call
        .time_left_ms
        .map_or(rule.timeout_ms, |left_ms| left_ms.min(rule.timeout_ms));
    let deadline = arrived + Duration::from_millis(limit_ms);
    let request = Request::from_parts(head.clone(), body);
    let body = read_body(&table, request, deadline).await?;
    let content = fingerprint(&head, organisation.as_deref(), &body);
    let parts = call.shared_parts.iter();
    let parts = parts.map(|id| CrashSuspect::Part(PromptPart(*id)));
    let suspects: Arc<[CrashSuspect]> = std::iter::once(CrashSuspect::Content(content))
        .chain(parts)
        .collect();
    refuse_quarantined(state, &call, &suspects)?;
    if !state.drain.takes(deadline) {
        return Err(drain_refusal(state, &call, &rule, deadline));
    }
    let service = rule.target(rand::random()).unwrap_or_default().to_owned();
    let measured = state.call_times.begin(&rule.name);
    let in_flight = state.calls.enter(CallIdentity {
        request_id: call.request_id.clone(),
        route: rule.name.clone(),
        service: service.clone(),
        arrived,
        deadline,
    });
    let timeouts = CallTimeouts {
        rule: Arc::clone(&rule),
        deadline,
        answer_times: state.answer_times.clone(),
    };
    let relay = DirectRelay {
        state: Arc::clone(state),
        resume_after: call.resume_after,
        call,
        rule,
        organisation,
        service,
        head,
        body,
        suspects,
        connection,
        measured,
        arrived,
        timeouts,
        tried: Vec::new(),
        times: StreamTimes::default(),
        awaited: None,
        framing: None,
        unfinished_bytes: 0,
        retries_left: 0.0,
        unwritten_sends: 0,
        next_slot: None,
        may_have_run: false,
        in_flight,
        has_ended: AtomicBool::new(false),
        _guard: guard,
    };
    if relay.rule.repeatability.is_stream() {
        direct_stream::respond(relay).await
    } else {
        respond_whole(relay).await
    }
}

/// Finds the route and the organisation of a call, and checks its credential.
fn find_route(
    table: &RouteTable,
    call: &DirectCall,
    path: &str,
) -> Result<(Arc<RouteRule>, Option<Arc<OrganisationRule>>), DirectRefusal> {
    let rule = table.route(&call.host, path).ok_or_else(|| {
        let message = format!("no route for path \"{path}\" of host \"{}\"", call.host);
        DirectRefusal::rejected(StatusCode::NOT_FOUND, "route-unknown", message)
    })?;
    let credential = call.credential.as_deref();
    let organisation = credential.and_then(|credential| table.organisation(credential));
    if table.needs_credential() && !rule.is_public && organisation.is_none() {
        let message = format!("credential is not declared for route \"{}\"", rule.name);
        let status = StatusCode::UNAUTHORIZED;
        return Err(DirectRefusal::rejected(
            status,
            "credential-unknown",
            message,
        ));
    }
    Ok((Arc::clone(rule), organisation.cloned()))
}

/// Returns the fingerprint of what is requested and by which organisation.
fn fingerprint(
    head: &request::Parts,
    organisation: Option<&OrganisationRule>,
    body: &Bytes,
) -> ContentFingerprint {
    let organisation = organisation.map_or("", |organisation| organisation.name.as_str());
    let identity = format!("{organisation}\n{} {}", head.method, head.uri);
    ContentFingerprint::of(&identity, body)
}

/// Refuses a call whose content or part of its prompt has repeatedly crashed endpoints.
pub(crate) fn refuse_quarantined(
    state: &DirectState,
    call: &DirectCall,
    suspects: &[CrashSuspect],
) -> Result<(), DirectRefusal> {
    let Some((suspect, refused_for_ms)) = state.crash_tracker.refusal(suspects) else {
        return Ok(());
    };
    let (code, message) = match suspect {
        CrashSuspect::Content(_) => (
            "content-quarantined",
            "the request has crashed the endpoints that ran it",
        ),
        CrashSuspect::Part(_) => (
            "prompt-part-quarantined",
            "a part of the prompt has crashed the endpoints that answered it",
        ),
    };
    let request_id = &call.request_id;
    event!(
        CallRejected,
        "request_id={request_id} code={code} suspect={suspect}"
    );
    Err(DirectRefusal::not_run(code, message, refused_for_ms))
}

/// Returns the refusal of a call that a draining entry might not finish before it is killed.
pub(crate) fn drain_refusal(
    state: &DirectState,
    call: &DirectCall,
    rule: &RouteRule,
    deadline: Instant,
) -> DirectRefusal {
    state.drain.record_refused();
    let retry_after_ms = state.retry_elsewhere_ms();
    event!(
        CallNotTaken,
        "request_id={} route={} left_ms={} longest_ms={} retry_after_ms={retry_after_ms} {}",
        call.request_id,
        rule.name,
        as_ms(deadline.saturating_duration_since(Instant::now())),
        state.longest_call_ms(rule),
        state.drain.log_fields()
    );
    let message = "entry is shutting down and might not finish the request";
    DirectRefusal::not_run("draining", message, retry_after_ms)
}

/// Reads the request body within the size limit of the route table.
async fn read_body(
    table: &RouteTable,
    request: Request,
    deadline: Instant,
) -> Result<Bytes, DirectRefusal> {
    let limit_bytes = table.bounds().max_body_bytes;
    let timeout = deadline.saturating_duration_since(Instant::now());
    let body = caller_body::read_body(request, limit_bytes, timeout).await;
    body.map_err(|error| {
        let (status, code) = match error {
            CallerBodyError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            CallerBodyError::Timeout { .. } => (StatusCode::REQUEST_TIMEOUT, "body-timeout"),
            CallerBodyError::Broken => (StatusCode::BAD_REQUEST, "body-malformed"),
        };
        DirectRefusal::rejected(status, code, error.to_string())
    })
}

/// Serves a call whose answer is read completely before it is passed on.
async fn respond_whole(mut relay: DirectRelay) -> Result<Response<Body>, DirectRefusal> {
    let answer = relay.fetch_whole().await;
    let outcome = match &answer {
        Ok(answer) => answer.head.status.as_u16(),
        Err(refusal) => refusal.status.as_u16(),
    };
    relay.record_end(&outcome.to_string(), "");
    let answer = answer?;
    relay.measured.record_end();
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = (relay.state.protocol.caller_headers)(&answer.head.headers);
    Ok(response)
}
