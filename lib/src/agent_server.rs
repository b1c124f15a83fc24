//! The agent's service towards entries.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::Stream;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use xxhash_rust::xxh3::xxh3_64;

use crate::AttemptNumber;
use crate::CallAttempt;
use crate::CallKey;
use crate::Clock;
use crate::ContentFingerprint;
use crate::FrameWriter;
use crate::Incarnation;
use crate::Metrics;
use crate::Refusal;
use crate::RefusalCode;
use crate::RequestNumber;
use crate::StoredAnswer;
use crate::actor::Actor;
use crate::actor::ActorError;
use crate::agent_actor::SharedLoad;
use crate::agent_command::AgentCommand;
use crate::agent_command::CallAdmission;
use crate::agent_command::CallEnd;
use crate::agent_command::Verdict;
use crate::completion::COMPLETIONS_CALL;
use crate::config_actor::SharedConfig;
use crate::endpoint_client::EndpointClient;
use crate::endpoint_client::EndpointError;
use crate::in_flight::InFlightCounter;
use crate::in_flight::InFlightGuard;
use crate::protos::control;
use crate::protos::control::AgentReport;
use crate::protos::control::CallFrame;
use crate::protos::control::CallRequest;
use crate::protos::control::HeartbeatReply;
use crate::protos::control::HeartbeatRequest;
use crate::protos::control::agent_server::Agent;
use crate::protos::control::call_frame::Frame;
use crate::quarantine_push::RecentPeers;
use crate::shared_quarantine::SharedQuarantine;

const FRAME_RING_CAPACITY: usize = 32;
const RING_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Longest wait for the endpoint, far beyond the deadline after which an entry answers.
const ANSWER_LIMIT: Duration = Duration::from_mins(1);
const OVERLOAD_RETRY_MS: u64 = 500;
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(10);
const BYTES_PER_TOKEN: u64 = 4;
const ENDPOINT_ERROR: &str = "endpoint-error";
const ANSWER_GONE: &str = "answer-no-longer-held";

/// State shared by the agent's request handlers.
pub(crate) struct AgentState {
    pub(crate) vm_name: String,
    pub(crate) service: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) config: SharedConfig,
    pub(crate) endpoint: EndpointClient,
    pub(crate) actor: Actor<AgentCommand>,
    pub(crate) load: SharedLoad,
    pub(crate) in_flight: InFlightCounter,
    pub(crate) metrics: Metrics,
    pub(crate) quarantine: SharedQuarantine,
    pub(crate) recent_peers: RecentPeers,
    /// Turns true when the agent takes no new work.
    pub(crate) leaving: watch::Sender<bool>,
    /// Addresses of peers that hold a newer configuration.
    pub(crate) pulls: mpsc::Sender<String>,
    /// False while the endpoint does not answer.
    pub(crate) endpoint_up: watch::Receiver<bool>,
}

impl AgentState {
    /// Returns what the agent says of itself now.
    fn word(&self) -> AgentReport {
        AgentReport {
            incarnation: self.incarnation.0,
            clock_ms: self.clock.now_ms(),
            leaving: *self.leaving.borrow(),
            endpoint_up: *self.endpoint_up.borrow(),
            config_revision: self.config.load().revision,
            load: Some(**self.load.load()),
        }
    }
}

/// Serves heartbeats and calls.
#[derive(Clone)]
pub(crate) struct AgentServer {
    pub(crate) state: Arc<AgentState>,
}

type FrameSender = mpsc::Sender<Result<CallFrame, Status>>;
type FrameStream = Pin<Box<dyn Stream<Item = Result<CallFrame, Status>> + Send>>;

#[tonic::async_trait]
impl Agent for AgentServer {
    type CallStream = FrameStream;

    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let state = &self.state;
        let heartbeat = request.into_inner();
        let from_vm = &heartbeat.from_vm;
        state
            .quarantine
            .take(from_vm, heartbeat.quarantine_news.as_ref());
        let quarantine_news = state.quarantine.update_for(from_vm);
        state.recent_peers.note(&heartbeat.from_address);
        if heartbeat.listed_leaving && !*state.leaving.borrow() {
            state.leaving.send_replace(true);
        }
        let view = state.config.load();
        if heartbeat.config_revision >= view.revision && heartbeat.config_digest != view.digest {
            // A pull that is already under way fetches this revision as well.
            let _ = state.pulls.try_send(heartbeat.from_address);
        }
        let word = state.word();
        Ok(Response::new(HeartbeatReply {
            vm_name: state.vm_name.clone(),
            incarnation: word.incarnation,
            clock_ms: word.clock_ms,
            leaving: word.leaving,
            config_revision: view.revision,
            load: word.load,
            service: state.service.clone(),
            endpoint_up: word.endpoint_up,
            quarantine_news,
            config_digest: view.digest,
        }))
    }

    async fn call(
        &self,
        request: Request<CallRequest>,
    ) -> Result<Response<Self::CallStream>, Status> {
        let (sender, receiver) = mpsc::channel(FRAME_RING_CAPACITY);
        let call = request.into_inner();
        self.state.quarantine.merge(&call.quarantined);
        let run = CallRun {
            writer: FrameWriter::new(&call.request_id),
            state: Arc::clone(&self.state),
            call,
            sender,
            _guard: self.state.in_flight.enter(),
        };
        tokio::spawn(run.run());
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }
}

/// One call at the agent.
struct CallRun {
    state: Arc<AgentState>,
    call: CallRequest,
    writer: FrameWriter,
    sender: FrameSender,
    _guard: InFlightGuard,
}

impl CallRun {
    async fn run(self) {
        let arrived = Instant::now();
        let admitted = self.admit().await;
        if let Ok(Verdict::Run(_)) = &admitted {
            let metrics = &self.state.metrics;
            metrics.record_queue_wait(&self.call.organisation, arrived.elapsed());
        }
        match admitted {
            Ok(Verdict::Run(number)) if self.call.call == COMPLETIONS_CALL => {
                self.stream(number).await;
            }
            Ok(Verdict::Run(number)) => self.answer(number).await,
            Ok(Verdict::Replay(answer)) => {
                let word = self.state.word();
                self.send_answer(&answer, word).await;
            }
            Ok(Verdict::AnswerGone) => self.answer_gone().await,
            Ok(Verdict::Refused(refusal)) => self.refuse(&refusal).await,
            Err(error) => {
                // A call that may not be repeated is not voided here, so that only "unknown" is
                // true of it.
                let refusal = if self.call.idempotent.is_some() {
                    Refusal::unknown(RefusalCode::QueueFull, OVERLOAD_RETRY_MS)
                } else {
                    Refusal::not_run(RefusalCode::QueueFull, OVERLOAD_RETRY_MS)
                };
                log::warn!("call {}: {error}", self.call.request_id);
                self.refuse(&refusal).await;
            }
        }
    }

    async fn admit(&self) -> Result<Verdict, ActorError> {
        let is_config_behind = !self.has_configuration().await;
        let (reply, verdict) = oneshot::channel();
        let admission = CallAdmission {
            organisation: self.call.organisation.clone(),
            attempt: self.attempt(),
            time_left_ms: self.call.deadline_ms,
            queued_tokens: self.call.body.len() as u64 / BYTES_PER_TOKEN,
            is_config_behind,
            content: ContentFingerprint(self.call.fingerprint),
            reply,
        };
        self.state.actor.submit(AgentCommand::Admit(admission))?;
        if self.call.idempotent.is_some() {
            return verdict.await.map_err(|_| ended());
        }
        let mut verdict = verdict;
        tokio::select! {
            verdict = &mut verdict => return verdict.map_err(|_| ended()),
            () = self.sender.closed() => {}
        }
        // The actor may have told the call to run just before its caller went away.
        verdict.close();
        if let Ok(Verdict::Run(number)) = verdict.try_recv() {
            self.end(number, CallEnd::NotStarted).await;
        }
        Err(ended())
    }

    /// Waits a short time for the configuration that the entry had when it sent the call.
    async fn has_configuration(&self) -> bool {
        let deadline = Instant::now() + CONFIGURATION_WAIT;
        while self.state.config.load().revision < self.call.config_revision {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
        }
        true
    }

    fn attempt(&self) -> Option<CallAttempt> {
        let idempotent = self.call.idempotent.as_ref()?;
        Some(CallAttempt {
            call: CallKey::new(&self.call.organisation, &idempotent.key),
            body_digest: xxh3_64(&self.call.body),
            incarnation: Incarnation(idempotent.incarnation),
            stamp_ms: idempotent.stamp_ms,
            attempt: AttemptNumber::new(idempotent.attempt),
        })
    }

    /// Runs a plain call to its end, even when its caller has gone: a resend may want the answer.
    async fn answer(self, number: RequestNumber) {
        let answered = tokio::time::timeout(ANSWER_LIMIT, self.state.endpoint.plain(&self.call))
            .await
            .unwrap_or_else(|_| Err(self.state.endpoint.silent(ANSWER_LIMIT)));
        match answered {
            Ok(answer) => {
                let answer = StoredAnswer {
                    status: answer.status,
                    content_type: answer.content_type.into(),
                    body: answer.body,
                };
                // The word still counts this call, whose end the entry notes by itself.
                let word = self.state.word();
                self.end(number, CallEnd::Answered(answer.clone())).await;
                self.send_answer(&answer, word).await;
            }
            Err(error) => self.fail(number, &error).await,
        }
    }

    /// Streams a completion for as long as its caller listens.
    async fn stream(mut self, number: RequestNumber) {
        let sender = self.sender.clone();
        let streamed = tokio::select! {
            streamed = self.stream_events() => streamed,
            () = sender.closed() => Ok(()),
        };
        match streamed {
            Ok(()) => {
                // The word still counts this call, whose end the entry notes by itself.
                let word = self.state.word();
                self.end(number, CallEnd::Streamed).await;
                send_final(&self.sender, self.writer.finish(), word).await;
            }
            Err(error) => self.fail(number, &error).await,
        }
    }

    async fn stream_events(&mut self) -> Result<(), EndpointError> {
        let body = engine_request(&self.call)?;
        let mut events = self.state.endpoint.completion(body).await?;
        let head = self.writer.head(200, "text/event-stream");
        let _ = self.sender.send(Ok(head)).await;
        while let Some(event) = events.next().await? {
            let frame = self.writer.data(event.to_vec(), 1);
            if self.sender.send(Ok(frame)).await.is_err() {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn fail(self, number: RequestNumber, error: &EndpointError) {
        let message = error.to_string();
        match error {
            EndpointError::NotStarted { .. } => {
                self.end(number, CallEnd::NotStarted).await;
                let refusal = Refusal::not_run(RefusalCode::EndpointUnreachable, OVERLOAD_RETRY_MS);
                self.refuse(&refusal).await;
            }
            EndpointError::Lost { .. } => {
                if self.state.endpoint.has_crashed().await {
                    self.fail_crashed(number, &message).await;
                    return;
                }
                let word = self.state.word();
                self.end(number, CallEnd::Lost).await;
                let refusal = Refusal::unknown_final(RefusalCode::EndpointLost);
                let frame = self.writer.refuse(&refusal, &message);
                send_final(&self.sender, frame, word).await;
            }
            EndpointError::Status { .. } => {
                let word = self.state.word();
                self.end(number, CallEnd::Streamed).await;
                let outcome = control::Outcome::NotRun;
                let frame = self
                    .writer
                    .fail(outcome, ENDPOINT_ERROR, &message, OVERLOAD_RETRY_MS);
                send_final(&self.sender, frame, word).await;
            }
        }
    }

    /// Answers a call under which the endpoint crashed with what is now held against its content.
    async fn fail_crashed(self, number: RequestNumber, message: &str) {
        let (noted, is_noted) = oneshot::channel();
        self.report(AgentCommand::Crashed { number, noted }).await;
        let _ = is_noted.await;
        let content = ContentFingerprint(self.call.fingerprint);
        let quarantined = self.state.quarantine.entry_of(content);
        let refusal = Refusal::unknown_final(RefusalCode::EndpointCrashed);
        let frame = self.writer.crashed(&refusal, message, quarantined);
        send_final(&self.sender, frame, self.state.word()).await;
    }

    async fn send_answer(mut self, answer: &StoredAnswer, word: AgentReport) {
        let head = self.writer.head(answer.status, &answer.content_type);
        let data = self.writer.data(answer.body.to_vec(), 0);
        let end = self.writer.finish();
        for frame in [head, data] {
            if self.sender.send(Ok(frame)).await.is_err() {
                return;
            }
        }
        send_final(&self.sender, end, word).await;
    }

    async fn answer_gone(self) {
        let message = "the call ran; its answer is no longer held";
        let outcome = control::Outcome::Ran;
        let frame = self.writer.fail(outcome, ANSWER_GONE, message, 0);
        send_final(&self.sender, frame, self.state.word()).await;
    }

    async fn refuse(self, refusal: &Refusal) {
        let vm_name = &self.state.vm_name;
        let message = format!("agent of {vm_name}: {}", refusal.code.as_str());
        let frame = self.writer.refuse(refusal, &message);
        send_final(&self.sender, frame, self.state.word()).await;
    }

    async fn end(&self, number: RequestNumber, end: CallEnd) {
        self.report(AgentCommand::Ended { number, end }).await;
    }

    /// Reports the end of a call; waits for room in the ring, since an end must not be lost.
    async fn report(&self, mut command: AgentCommand) {
        while let Err(returned) = self.state.actor.submit_or_return(command) {
            command = returned;
            tokio::time::sleep(RING_RETRY_DELAY).await;
        }
    }
}

/// Sends the final frame of an answer, with the agent's word beside it.
async fn send_final(sender: &FrameSender, mut frame: CallFrame, word: AgentReport) {
    if let Some(Frame::Final(end)) = &mut frame.frame {
        end.word = Some(word);
    }
    // A caller that has gone needs no answer.
    let _ = sender.send(Ok(frame)).await;
}

fn ended() -> ActorError {
    ActorError::Ended { actor: "agent" }
}

fn engine_request(call: &CallRequest) -> Result<Vec<u8>, EndpointError> {
    let malformed = |reason: String| EndpointError::NotStarted { reason };
    let mut body: Value =
        serde_json::from_slice(&call.body).map_err(|error| malformed(error.to_string()))?;
    body["request_id"] = Value::from(call.request_id.clone());
    body["resume_after_token"] = Value::from(call.resume_after_token);
    body["priority"] = Value::from(call.urgency);
    Ok(body.to_string().into_bytes())
}
