//! Calls of plain services, repeatable or not.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use futures::StreamExt;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use prost::Message;
use volo_http::body::Body;
use volo_http::request::Request;

use crate::agent_channels::is_connect_failure;
use crate::caller_error::CallerError;
use crate::caller_error::OUTCOME_HEADER;
use crate::caller_error::PLACEMENT_HEADER;
use crate::entry_server::EntryState;
use crate::entry_server::no_endpoint;
use crate::entry_server::respond;
use crate::outcome::Outcome;
use crate::protos::control::CallRequest;
use crate::protos::control::IdempotentCall;
use crate::protos::control::Placement;
use crate::protos::control::PlacementHome;
use crate::protos::control::agent_client::AgentClient;
use crate::protos::control::call_frame;
use crate::routing_duty::RoutingCommand;

const KEY_HEADER: &str = "idempotency-key";
const ATTEMPT_HEADER: &str = "pomeloramp-attempt";

/// Handles `POST /v1/services/{service}/{call}`.
pub(crate) async fn handle(
    state: Arc<EntryState>,
    service: String,
    call: String,
    request: Request,
) -> Response<Body> {
    respond(run(&state, service, call, request).await)
}

async fn run(
    state: &EntryState,
    service: String,
    call: String,
    request: Request,
) -> Result<Response<Body>, CallerError> {
    let _guard = state.in_flight.enter();
    let headers = request.headers().clone();
    let authorised = state.authorise(&service, &headers)?;
    let body = state.read_body(request).await?;
    let mut message = CallRequest {
        request_id: format!("{:016x}", rand::random::<u64>()),
        organisation: authorised.organisation.organisation.clone(),
        service: service.clone(),
        call,
        body: body.to_vec(),
        content_type: text(&headers, CONTENT_TYPE.as_str())
            .unwrap_or("application/octet-stream")
            .to_owned(),
        deadline_ms: authorised.service.template().deadline_ms,
        urgency: authorised.organisation.urgency,
        ..CallRequest::default()
    };
    if authorised.service.template().repeatable {
        let chosen = state.choose(&service, &[]).await?;
        let result = send(state, &chosen.peer_address, message).await;
        let _ = state.routing.submit(RoutingCommand::Finished {
            vm_name: chosen.vm_name,
        });
        return result;
    }
    let home = home_of(
        state,
        &headers,
        &authorised.organisation.organisation,
        &service,
    )
    .await?;
    message.idempotent = Some(IdempotentCall {
        key: text(&headers, KEY_HEADER).unwrap_or_default().to_owned(),
        incarnation: home.incarnation,
        stamp_ms: home.stamp_ms,
        attempt: text(&headers, ATTEMPT_HEADER)
            .and_then(|attempt| attempt.parse().ok())
            .unwrap_or(0),
    });
    send(state, &home.peer_address, message).await
}

/// Encodes a fresh placement over the usable agents of `service`.
pub(crate) async fn fresh_placement(
    state: &EntryState,
    service: &str,
) -> Result<String, CallerError> {
    let homes = state.homes(service).await?;
    if homes.is_empty() {
        return Err(no_endpoint(service));
    }
    let placement = Placement {
        service: service.to_owned(),
        config_revision: state.config.load().revision,
        homes,
        signature: Vec::new(),
    };
    Ok(URL_SAFE_NO_PAD.encode(placement.encode_to_vec()))
}

async fn home_of(
    state: &EntryState,
    headers: &HeaderMap,
    organisation: &str,
    service: &str,
) -> Result<PlacementHome, CallerError> {
    let malformed =
        |message: &str| CallerError::not_run(StatusCode::BAD_REQUEST, "request-malformed", message);
    let key = text(headers, KEY_HEADER)
        .ok_or_else(|| malformed("header \"Idempotency-Key\" is missing"))?;
    let Some(placement) = text(headers, PLACEMENT_HEADER) else {
        let fresh = fresh_placement(state, service).await.ok();
        let message = "header \"Pomeloramp-Placement\" is missing";
        return Err(
            CallerError::not_run(StatusCode::CONFLICT, "placement-required", message)
                .placement(fresh),
        );
    };
    let bytes = URL_SAFE_NO_PAD
        .decode(placement)
        .map_err(|_| malformed("header \"Pomeloramp-Placement\" is not a placement"))?;
    let placement = Placement::decode(bytes.as_slice())
        .map_err(|_| malformed("header \"Pomeloramp-Placement\" is not a placement"))?;
    placement
        .homes
        .into_iter()
        .max_by_key(|home| {
            let weighed = format!("{organisation}\n{key}\n{}", home.incarnation);
            xxhash_rust::xxh3::xxh3_64(weighed.as_bytes())
        })
        .ok_or_else(|| malformed("header \"Pomeloramp-Placement\" names no agent"))
}

async fn send(
    state: &EntryState,
    peer_address: &str,
    call: CallRequest,
) -> Result<Response<Body>, CallerError> {
    let channel = state
        .channels
        .get(peer_address)
        .map_err(|status| CallerError::unknown("agent-address", status.message()))?;
    let mut frames = AgentClient::new(channel)
        .call(call)
        .await
        .map_err(|status| {
            if is_connect_failure(&status) {
                CallerError::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "agent-unreachable",
                    status.message(),
                )
            } else {
                CallerError::unknown("agent-failed", status.message())
            }
        })?
        .into_inner();
    let mut response = Response::new(Body::empty());
    let mut body = Vec::new();
    while let Some(frame) = frames.next().await {
        let frame = frame.map_err(|status| CallerError::unknown("answer-cut", status.message()))?;
        match frame.frame {
            Some(call_frame::Frame::Head(head)) => {
                let status = u16::try_from(head.status).unwrap_or(502);
                *response.status_mut() =
                    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                if let Ok(value) = HeaderValue::from_str(&head.content_type) {
                    response.headers_mut().insert(CONTENT_TYPE, value);
                }
            }
            Some(call_frame::Frame::Data(data)) => body.extend_from_slice(&data.payload),
            Some(call_frame::Frame::Final(ending)) if ending.code.is_empty() => {
                *response.body_mut() = Body::from(Bytes::from(body));
                response.headers_mut().insert(
                    OUTCOME_HEADER,
                    HeaderValue::from_static(Outcome::Ran.as_str()),
                );
                return Ok(response);
            }
            Some(call_frame::Frame::Final(ending)) => {
                return Err(CallerError {
                    outcome: Outcome::from(ending.outcome()),
                    retry_after_ms: ending.retry_after_ms,
                    ..CallerError::not_run(
                        StatusCode::SERVICE_UNAVAILABLE,
                        &ending.code,
                        ending.message,
                    )
                });
            }
            None => {}
        }
    }
    Err(CallerError::unknown(
        "answer-cut",
        "agent ended the answer early",
    ))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
