//! Streamed completions towards callers.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Frame;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use volo_http::body::Body;
use volo_http::request::Request;

use crate::agent_channels::is_connect_failure;
use crate::caller_error::CallerError;
use crate::caller_error::OUTCOME_HEADER;
use crate::entry_server::Authorised;
use crate::entry_server::EntryState;
use crate::entry_server::respond;
use crate::in_flight::InFlightGuard;
use crate::outcome::Outcome;
use crate::protos::control::CallFrame;
use crate::protos::control::CallRequest;
use crate::protos::control::FinalFrame;
use crate::protos::control::agent_client::AgentClient;
use crate::protos::control::call_frame;
use crate::routing_duty::Chosen;
use crate::routing_duty::RoutingCommand;

const EVENT_RING_CAPACITY: usize = 32;
const MAX_SENDS: usize = 3;

/// Body of a completion request.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

fn default_max_tokens() -> u32 {
    128
}

/// Handles `POST /v1/completions`.
pub(crate) async fn handle(state: Arc<EntryState>, request: Request) -> Response<Body> {
    respond(complete(state, request).await)
}

async fn complete(state: Arc<EntryState>, request: Request) -> Result<Response<Body>, CallerError> {
    let guard = state.in_flight.enter();
    let headers = request.headers().clone();
    let body = state.read_body(request).await?;
    let completion = parse(&body)?;
    let authorised = state.authorise(&completion.model, &headers)?;
    let call = call_request(&completion, &authorised);
    let mut relay = Relay {
        state,
        service: completion.model.clone(),
        call,
        delivered_tokens: 0,
        tried: Vec::new(),
        _guard: guard,
    };
    let first = relay.open().await?;
    if completion.stream {
        Ok(stream_response(relay, first))
    } else {
        whole_response(relay, first).await
    }
}

fn parse(body: &[u8]) -> Result<CompletionBody, CallerError> {
    let malformed = |message: String| {
        CallerError::not_run(StatusCode::BAD_REQUEST, "request-malformed", message)
    };
    let completion: CompletionBody = serde_json::from_slice(body)
        .map_err(|error| malformed(format!("body is not a completion request: {error}")))?;
    if completion.max_tokens == 0 {
        return Err(malformed("field \"max_tokens\" is zero".to_owned()));
    }
    Ok(completion)
}

fn call_request(completion: &CompletionBody, authorised: &Authorised) -> CallRequest {
    let body = json!({
        "prompt": completion.prompt,
        "max_tokens": completion.max_tokens,
    });
    CallRequest {
        request_id: format!("{:016x}", rand::random::<u64>()),
        organisation: authorised.organisation.organisation.clone(),
        service: completion.model.clone(),
        call: "completions".to_owned(),
        body: body.to_string().into_bytes(),
        content_type: "application/json".to_owned(),
        deadline_ms: authorised.service.template().deadline_ms,
        urgency: authorised.organisation.urgency,
        ..CallRequest::default()
    }
}

/// Relays one completion, resuming it elsewhere when an endpoint fails.
struct Relay {
    state: Arc<EntryState>,
    service: String,
    call: CallRequest,
    delivered_tokens: u64,
    tried: Vec<String>,
    _guard: InFlightGuard,
}

struct OpenCall {
    chosen: Chosen,
    frames: Streaming<CallFrame>,
}

enum Step {
    Token(Value),
    End,
    Failed(CallerError),
}

impl Relay {
    /// Sends the call to an endpoint, and to another when nothing was written.
    async fn open(&mut self) -> Result<OpenCall, CallerError> {
        loop {
            let chosen = self.state.choose(&self.service, &self.tried).await?;
            self.tried.push(chosen.vm_name.clone());
            match self.send(&chosen).await {
                Ok(frames) => return Ok(OpenCall { chosen, frames }),
                Err(error) if self.tried.len() >= MAX_SENDS => {
                    self.finished(&chosen);
                    return Err(error);
                }
                Err(_) => self.finished(&chosen),
            }
        }
    }

    async fn send(&self, chosen: &Chosen) -> Result<Streaming<CallFrame>, CallerError> {
        let channel = self
            .state
            .channels
            .get(&chosen.peer_address)
            .map_err(|status| CallerError::unknown("agent-address", status.message()))?;
        let mut call = self.call.clone();
        call.resume_after_token = self.delivered_tokens;
        AgentClient::new(channel)
            .call(call)
            .await
            .map(tonic::Response::into_inner)
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
            })
    }

    fn finished(&self, chosen: &Chosen) {
        let command = RoutingCommand::Finished {
            vm_name: chosen.vm_name.clone(),
        };
        if let Err(error) = self.state.routing.submit(command) {
            log::warn!("end of a call: {error}");
        }
    }

    /// Reads the next token, resuming the stream elsewhere when it was cut.
    async fn next(&mut self, open: &mut OpenCall) -> Step {
        loop {
            let cut = match open.frames.next().await {
                Some(Ok(frame)) => match frame.frame {
                    Some(call_frame::Frame::Head(_)) | None => continue,
                    Some(call_frame::Frame::Data(data)) => {
                        self.delivered_tokens += u64::from(data.tokens);
                        return Step::Token(
                            serde_json::from_slice(&data.payload).unwrap_or_default(),
                        );
                    }
                    Some(call_frame::Frame::Final(ending)) => {
                        if ending.code.is_empty() {
                            self.finished(&open.chosen);
                            return Step::End;
                        }
                        error_of(ending)
                    }
                },
                Some(Err(status)) => CallerError::unknown("agent-failed", status.message()),
                None => CallerError::unknown("answer-cut", "agent ended the answer early"),
            };
            self.finished(&open.chosen);
            if self.tried.len() >= MAX_SENDS {
                return Step::Failed(cut);
            }
            match self.open().await {
                Ok(resumed) => *open = resumed,
                Err(error) => return Step::Failed(error),
            }
        }
    }
}

fn error_of(ending: FinalFrame) -> CallerError {
    let outcome = Outcome::from(ending.outcome());
    CallerError {
        outcome,
        retry_after_ms: ending.retry_after_ms,
        ..CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            &ending.code,
            ending.message,
        )
    }
}

fn stream_response(relay: Relay, first: OpenCall) -> Response<Body> {
    let (sender, receiver) = mpsc::channel::<Bytes>(EVENT_RING_CAPACITY);
    tokio::spawn(pump(relay, first, sender));
    let frames = ReceiverStream::new(receiver).map(|bytes| Ok(Frame::data(bytes)));
    let mut response = Response::new(Body::from_stream(frames));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

async fn pump(mut relay: Relay, mut open: OpenCall, sender: mpsc::Sender<Bytes>) {
    let id = relay.call.request_id.clone();
    let model = relay.service.clone();
    loop {
        let step = relay.next(&mut open).await;
        let ended = !matches!(step, Step::Token(_));
        let text = match step {
            Step::Token(token) => event(&chunk(&id, &model, &token["text"], &Value::Null)),
            Step::End => {
                let last = event(&chunk(&id, &model, &json!(""), &json!("stop")));
                format!("{last}data: [DONE]\n\n")
            }
            Step::Failed(error) => format!("data: {}\n\n", error.to_json()),
        };
        let sent = sender.send(Bytes::from(text)).await;
        if sent.is_err() && !ended {
            relay.finished(&open.chosen);
            return;
        }
        if ended {
            return;
        }
    }
}

async fn whole_response(
    mut relay: Relay,
    mut open: OpenCall,
) -> Result<Response<Body>, CallerError> {
    let mut text = String::new();
    loop {
        match relay.next(&mut open).await {
            Step::Token(token) => text.push_str(token["text"].as_str().unwrap_or_default()),
            Step::Failed(error) => return Err(error),
            Step::End => break,
        }
    }
    let mut answer = chunk(
        &relay.call.request_id,
        &relay.service,
        &Value::from(text),
        &json!("stop"),
    );
    answer["usage"] = json!({ "completion_tokens": relay.delivered_tokens });
    let mut response = Response::new(Body::from(Bytes::from(answer.to_string())));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        OUTCOME_HEADER,
        HeaderValue::from_static(Outcome::Ran.as_str()),
    );
    Ok(response)
}

fn chunk(id: &str, model: &str, text: &Value, finish_reason: &Value) -> Value {
    json!({
        "id": id,
        "object": "text_completion",
        "model": model,
        "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
    })
}

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}
