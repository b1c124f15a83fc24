//! Streamed completions towards callers.

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

/// Names a completion towards agents; the slash keeps it apart from the calls of plain services.
pub(crate) const COMPLETIONS_CALL: &str = "/v1/completions";
const MODEL_KIND: &str = "model";
const EVENT_RING_CAPACITY: usize = 32;
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
    respond(complete(state, request).await)
}

async fn complete(state: Arc<EntryState>, request: Request) -> Result<Response<Body>, CallerError> {
    let guard = state.in_flight.enter();
    let arrived = Instant::now();
    let headers = request.headers().clone();
    let body = state.read_body(request).await?;
    let completion = parse(&body)?;
    let authorised = state.authorise(&completion.model, &headers)?;
    EntryState::check_kind(&authorised.service, MODEL_KIND)?;
    let call = call_request(&state, &completion, &authorised);
    let attempts = state.attempts(&call, Bytes::from(completion.prompt));
    let mut relay = Relay {
        state,
        call,
        attempts,
        delivered_tokens: 0,
        arrived,
        _guard: guard,
    };
    let is_stream = completion.stream;
    let first = relay
        .open()
        .await
        .inspect_err(|error| relay.record_end(error.outcome))?;
    if is_stream {
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

/// Relays one completion, resuming it elsewhere when an endpoint fails.
struct Relay {
    state: Arc<EntryState>,
    call: CallRequest,
    attempts: Attempts,
    delivered_tokens: u64,
    arrived: Instant,
    _guard: InFlightGuard,
}

/// A send whose answer is being received.
struct OpenCall {
    send: RoutedSend,
    answer: AgentCall,
    has_first_token: bool,
}

enum Step {
    Token(Value),
    End,
    Failed(CallerError),
}

impl Relay {
    /// Sends the call, to another endpoint when one does not begin its answer.
    async fn open(&mut self) -> Result<OpenCall, CallerError> {
        loop {
            let content = ContentFingerprint(self.call.fingerprint);
            self.state.check_content(content)?;
            let send = self.attempts.choose().await?;
            let error = match self.begin(&send).await {
                Ok(answer) => {
                    return Ok(OpenCall {
                        send,
                        answer,
                        has_first_token: false,
                    });
                }
                Err(error) => error,
            };
            self.attempts.finished(&send);
            if !self.attempts.may_retry().await {
                return Err(error);
            }
        }
    }

    /// Sends the call to one endpoint and waits for the head of its answer.
    async fn begin(&self, send: &RoutedSend) -> Result<AgentCall, CallerError> {
        let mut call = self.call.clone();
        call.resume_after_token = self.delivered_tokens;
        self.state.add_suspicion(&mut call);
        let time_left = self.attempts.time_left();
        call.deadline_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let opening = async {
            let mut answer = self
                .state
                .open_call(send.target(), call)
                .await
                .map_err(|error| error_of(&error))?;
            match answer.next().await.map_err(|error| error_of(&error))? {
                FrameEvent::Failed(failure) => Err(self.state.agent_failure(failure)),
                FrameEvent::Head { .. } | FrameEvent::Data { .. } | FrameEvent::Whole => Ok(answer),
            }
        };
        tokio::time::timeout(time_left, opening)
            .await
            .unwrap_or_else(|_| Err(deadline_passed()))
    }

    /// Reads the next token, resuming the stream elsewhere when it was cut.
    async fn next(&mut self, open: &mut OpenCall) -> Step {
        loop {
            let error = match self.receive(open).await {
                Ok(FrameEvent::Data { payload, .. }) => {
                    if !open.has_first_token {
                        open.has_first_token = true;
                        self.attempts.first_token(&open.send);
                        self.record_first_token();
                    }
                    self.delivered_tokens = open.answer.delivered_tokens();
                    return Step::Token(serde_json::from_slice(&payload).unwrap_or_default());
                }
                Ok(FrameEvent::Head { .. }) => continue,
                Ok(FrameEvent::Whole) => {
                    self.attempts.finished(&open.send);
                    self.record_end(Outcome::Ran);
                    return Step::End;
                }
                Ok(FrameEvent::Failed(failure)) => self.state.agent_failure(failure),
                Err(error) => error,
            };
            self.attempts.finished(&open.send);
            if !self.attempts.may_retry().await {
                self.record_end(error.outcome);
                return Step::Failed(error);
            }
            match self.open().await {
                Ok(resumed) => {
                    event!(StreamResumed, "request_id={}", self.call.request_id);
                    *open = resumed;
                }
                Err(error) => {
                    self.record_end(error.outcome);
                    return Step::Failed(error);
                }
            }
        }
    }

    /// Records the first token of the whole answer, not that of a resumed stream.
    fn record_first_token(&self) {
        if self.delivered_tokens == 0 {
            let elapsed = self.arrived.elapsed();
            let metrics = &self.state.metrics;
            metrics.record_first_token(&self.call.service, self.call.urgency, elapsed);
        }
    }

    /// Records the end of the whole answer.
    fn record_end(&self, outcome: Outcome) {
        let elapsed = self.arrived.elapsed();
        let metrics = &self.state.metrics;
        metrics.record_request(&self.call.organisation, outcome.as_str(), elapsed);
    }

    async fn receive(&self, open: &mut OpenCall) -> Result<FrameEvent, CallerError> {
        tokio::time::timeout(self.attempts.time_left(), open.answer.next())
            .await
            .map_err(|_| deadline_passed())?
            .map_err(|error| error_of(&error))
    }
}

fn error_of(error: &AgentCallError) -> CallerError {
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

fn deadline_passed() -> CallerError {
    CallerError::unknown(
        "deadline-passed",
        "the answer did not come within the deadline",
    )
    .retry_after_ms(RETRY_AFTER_MS)
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
    let model = relay.call.service.clone();
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
            relay.attempts.finished(&open.send);
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
