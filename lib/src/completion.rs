//! Completion requests of callers, answered as an event stream or as one JSON object.

use std::sync::Arc;
use std::time::Instant;

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
use volo_http::body::Body;
use volo_http::request::Request;

use crate::ContentFingerprint;
use crate::FrameEvent;
use crate::RefusalCode;
use crate::agent_call::AgentCall;
use crate::agent_call::AgentCallError;
use crate::as_ms::as_ms;
use crate::attempts::Attempts;
use crate::caller_error::CallerError;
use crate::caller_error::OUTCOME_HEADER;
use crate::entry_server::Authorised;
use crate::entry_server::EntryState;
use crate::entry_server::respond;
use crate::event;
use crate::in_flight::InFlightGuard;
use crate::outcome::Outcome;
use crate::protos::control::CallRequest;
use crate::service_routes::RoutedSend;

/// Call name of completions in requests to agents. Call names of plain services contain no slash,
/// so the names can't collide.
pub(crate) const COMPLETIONS_CALL: &str = "/v1/completions";
const MODEL_KIND: &str = "model";
const EVENT_CHANNEL_CAPACITY: usize = 32;
const RETRY_AFTER_MS: u64 = 500;

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
    respond(handle_request(state, request).await)
}

async fn handle_request(
    state: Arc<EntryState>,
    request: Request,
) -> Result<Response<Body>, CallerError> {
    let guard = state.in_flight.enter();
    let arrived_at = Instant::now();
    let headers = request.headers().clone();
    let body = state.read_body(request).await?;
    let completion = parse(&body)?;
    let authorised = state.authorise(&completion.model, &headers)?;
    EntryState::check_kind(&authorised.service, MODEL_KIND)?;
    let call = call_request(&state, &completion, &authorised);
    let attempts = state.attempts(&call, Bytes::from(completion.prompt));
    let mut relay = CompletionRelay {
        state,
        call,
        attempts,
        delivered_tokens: 0,
        arrived_at,
        _guard: guard,
    };
    let is_stream = completion.stream;
    let first = relay
        .open()
        .await
        .inspect_err(|error| relay.record_outcome(error.outcome))?;
    if is_stream {
        Ok(stream_response(relay, first))
    } else {
        json_response(relay, first).await
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

fn call_request(
    state: &EntryState,
    completion: &CompletionBody,
    authorised: &Authorised,
) -> CallRequest {
    let body = json!({
        "prompt": completion.prompt,
        "max_tokens": completion.max_tokens,
    });
    let body = body.to_string().into_bytes();
    CallRequest {
        request_id: format!("{:016x}", rand::random::<u64>()),
        fingerprint: ContentFingerprint::of(&completion.model, &body).0,
        organisation: authorised.organisation.organisation.clone(),
        service: completion.model.clone(),
        call: COMPLETIONS_CALL.to_owned(),
        body,
        content_type: "application/json".to_owned(),
        deadline_ms: state.deadline_ms(&authorised.service),
        config_revision: state.config.load().revision,
        urgency: authorised.organisation.urgency,
        ..CallRequest::default()
    }
}

/// Relays the answer to one completion request, and resumes it at another endpoint when one fails.
struct CompletionRelay {
    state: Arc<EntryState>,
    call: CallRequest,
    attempts: Attempts,
    delivered_tokens: u64,
    arrived_at: Instant,
    _guard: InFlightGuard,
}

/// A call to an agent whose answer is being received.
struct OpenCall {
    send: RoutedSend,
    answer: AgentCall,
    has_first_token: bool,
}

enum StreamStep {
    Token(Value),
    End,
    Failed(CallerError),
}

impl CompletionRelay {
    /// Sends the call to one endpoint after another until one starts its answer.
    async fn open(&mut self) -> Result<OpenCall, CallerError> {
        loop {
            let content = ContentFingerprint(self.call.fingerprint);
            self.state.check_content(content)?;
            let send = self.attempts.choose().await?;
            let error = match self.open_at(&send).await {
                Ok(answer) => {
                    return Ok(OpenCall {
                        send,
                        answer,
                        has_first_token: false,
                    });
                }
                Err(error) => error,
            };
            self.attempts.record_finished(&send);
            if !self.attempts.may_retry().await {
                return Err(error);
            }
        }
    }

    /// Sends the call to one endpoint and waits for the first frame of its answer.
    async fn open_at(&self, send: &RoutedSend) -> Result<AgentCall, CallerError> {
        let mut call = self.call.clone();
        call.resume_after_token = self.delivered_tokens;
        self.state.add_suspicion(&mut call);
        let time_left = self.attempts.time_left();
        call.deadline_ms = as_ms(time_left);
        let opening = async {
            let mut answer = self
                .state
                .open_call(send.target(), call)
                .await
                .map_err(|error| caller_error(&error))?;
            match answer.next().await.map_err(|error| caller_error(&error))? {
                FrameEvent::Failed(failure) => Err(self.state.agent_failure(failure)),
                FrameEvent::Head { .. } | FrameEvent::Data { .. } | FrameEvent::Complete => {
                    Ok(answer)
                }
            }
        };
        tokio::time::timeout(time_left, opening)
            .await
            .unwrap_or_else(|_| Err(deadline_error()))
    }

    /// Returns the next token. When the stream breaks, resumes it at another endpoint.
    async fn next(&mut self, open: &mut OpenCall) -> StreamStep {
        loop {
            let error = match self.receive(open).await {
                Ok(FrameEvent::Data { payload, .. }) => {
                    if !open.has_first_token {
                        open.has_first_token = true;
                        self.attempts.record_first_token(&open.send);
                        self.record_first_token();
                    }
                    self.delivered_tokens = open.answer.delivered_tokens();
                    return StreamStep::Token(serde_json::from_slice(&payload).unwrap_or_default());
                }
                Ok(FrameEvent::Head { .. }) => continue,
                Ok(FrameEvent::Complete) => {
                    self.attempts.record_finished(&open.send);
                    self.record_outcome(Outcome::Ran);
                    return StreamStep::End;
                }
                Ok(FrameEvent::Failed(failure)) => self.state.agent_failure(failure),
                Err(error) => error,
            };
            self.attempts.record_finished(&open.send);
            if !self.attempts.may_retry().await {
                self.record_outcome(error.outcome);
                return StreamStep::Failed(error);
            }
            match self.open().await {
                Ok(resumed) => {
                    event!(StreamResumed, "request_id={}", self.call.request_id);
                    *open = resumed;
                }
                Err(error) => {
                    self.record_outcome(error.outcome);
                    return StreamStep::Failed(error);
                }
            }
        }
    }

    /// Records the time to the first token, which a resumed stream does not count again.
    fn record_first_token(&self) {
        if self.delivered_tokens == 0 {
            let elapsed = self.arrived_at.elapsed();
            let metrics = &self.state.metrics;
            metrics.record_first_token(&self.call.service, self.call.urgency, elapsed);
        }
    }

    /// Records the outcome and the duration of the request.
    fn record_outcome(&self, outcome: Outcome) {
        let elapsed = self.arrived_at.elapsed();
        let metrics = &self.state.metrics;
        metrics.record_request(&self.call.organisation, outcome.as_str(), elapsed);
    }

    async fn receive(&self, open: &mut OpenCall) -> Result<FrameEvent, CallerError> {
        tokio::time::timeout(self.attempts.time_left(), open.answer.next())
            .await
            .map_err(|_| deadline_error())?
            .map_err(|error| caller_error(&error))
    }
}

fn caller_error(error: &AgentCallError) -> CallerError {
    let message = error.to_string();
    match error {
        AgentCallError::NotWritten { .. } => CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            RefusalCode::HomeUnreachable.as_str(),
            message,
        ),
        AgentCallError::Lost { .. } => {
            CallerError::unknown(RefusalCode::HomeLost.as_str(), message)
        }
    }
    .retry_after_ms(RETRY_AFTER_MS)
}

fn deadline_error() -> CallerError {
    CallerError::unknown(
        "deadline-passed",
        "the answer did not come within the deadline",
    )
    .retry_after_ms(RETRY_AFTER_MS)
}

fn stream_response(relay: CompletionRelay, first: OpenCall) -> Response<Body> {
    let (sender, receiver) = mpsc::channel::<Bytes>(EVENT_CHANNEL_CAPACITY);
    tokio::spawn(send_events(relay, first, sender));
    let frames = ReceiverStream::new(receiver).map(|bytes| Ok(Frame::data(bytes)));
    let mut response = Response::new(Body::from_stream(frames));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

async fn send_events(mut relay: CompletionRelay, mut open: OpenCall, sender: mpsc::Sender<Bytes>) {
    let id = relay.call.request_id.clone();
    let model = relay.call.service.clone();
    loop {
        let step = relay.next(&mut open).await;
        let is_last = !matches!(step, StreamStep::Token(_));
        let text = match step {
            StreamStep::Token(token) => {
                sse_event(&completion_json(&id, &model, &token["text"], &Value::Null))
            }
            StreamStep::End => {
                let last = sse_event(&completion_json(&id, &model, &json!(""), &json!("stop")));
                format!("{last}data: [DONE]\n\n")
            }
            StreamStep::Failed(error) => format!("data: {}\n\n", error.to_json()),
        };
        let sent = sender.send(Bytes::from(text)).await;
        if sent.is_err() && !is_last {
            relay.attempts.record_finished(&open.send);
            return;
        }
        if is_last {
            return;
        }
    }
}

async fn json_response(
    mut relay: CompletionRelay,
    mut open: OpenCall,
) -> Result<Response<Body>, CallerError> {
    let mut text = String::new();
    loop {
        match relay.next(&mut open).await {
            StreamStep::Token(token) => text.push_str(token["text"].as_str().unwrap_or_default()),
            StreamStep::Failed(error) => return Err(error),
            StreamStep::End => break,
        }
    }
    let mut answer = completion_json(
        &relay.call.request_id,
        &relay.call.service,
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

fn completion_json(id: &str, model: &str, text: &Value, finish_reason: &Value) -> Value {
    json!({
        "id": id,
        "object": "text_completion",
        "model": model,
        "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
    })
}

fn sse_event(value: &Value) -> String {
    format!("data: {value}\n\n")
}
