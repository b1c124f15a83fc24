//! The agent's gRPC service for entries: heartbeats and calls.

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
use crate::agent_command::AdmissionDecision;
use crate::agent_command::AgentCommand;
use crate::agent_command::CallAdmission;
use crate::agent_command::CallResult;
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

const FRAME_CHANNEL_CAPACITY: usize = 32;
const RING_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Timeout of an endpoint's answer, far beyond the deadline after which an entry answers its
/// caller.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);
const OVERLOAD_RETRY_MS: u64 = 500;
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(1);
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
    /// True once the agent refuses new calls.
    pub(crate) leaving: watch::Sender<bool>,
    /// Addresses of peers with a newer configuration, to pull it from.
    pub(crate) config_pulls: mpsc::Sender<String>,
    /// False while the endpoint does not answer.
    pub(crate) endpoint_up: watch::Receiver<bool>,
}

impl AgentState {
    /// Returns the agent's current report on itself.
    fn report(&self) -> AgentReport {
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

/// Implementation of the agent's gRPC service.
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
            .apply_update(from_vm, heartbeat.quarantine_news.as_ref());
        let quarantine_news = state.quarantine.update_for(from_vm);
        state.recent_peers.record(&heartbeat.from_address);
        if heartbeat.listed_leaving && !*state.leaving.borrow() {
            state.leaving.send_replace(true);
        }
        let view = state.config.load();
        if heartbeat.config_revision >= view.revision && heartbeat.config_digest != view.digest {
            // A pull that is already pending fetches this revision as well.
            let _ = state.config_pulls.try_send(heartbeat.from_address);
        }
        let report = state.report();
        Ok(Response::new(HeartbeatReply {
            vm_name: state.vm_name.clone(),
            incarnation: report.incarnation,
            clock_ms: report.clock_ms,
            leaving: report.leaving,
            config_revision: view.revision,
            load: report.load,
            service: state.service.clone(),
            endpoint_up: report.endpoint_up,
            quarantine_news,
            config_digest: view.digest,
        }))
    }

    async fn call(
        &self,
        request: Request<CallRequest>,
    ) -> Result<Response<Self::CallStream>, Status> {
        let (sender, receiver) = mpsc::channel(FRAME_CHANNEL_CAPACITY);
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

/// Handler of one call at the agent.
struct CallRun {
    state: Arc<AgentState>,
    call: CallRequest,
    writer: FrameWriter,
    sender: FrameSender,
    _guard: InFlightGuard,
}

impl CallRun {
    async fn run(self) {
        let arrived_at = Instant::now();
        let admitted = self.admit().await;
        if let Ok(AdmissionDecision::Run(_)) = &admitted {
            let metrics = &self.state.metrics;
            metrics.record_queue_wait(&self.call.organisation, arrived_at.elapsed());
        }
        match admitted {
            Ok(AdmissionDecision::Run(number)) if self.call.call == COMPLETIONS_CALL => {
                self.stream(number).await;
            }
            Ok(AdmissionDecision::Run(number)) => self.answer(number).await,
            Ok(AdmissionDecision::Replay(answer)) => {
                let report = self.state.report();
                self.send_answer(&answer, report).await;
            }
            Ok(AdmissionDecision::AnswerGone) => self.answer_gone().await,
            Ok(AdmissionDecision::Refused(refusal)) => self.refuse(&refusal).await,
            Err(error) => {
                // A call that may run at most once is not voided here, so its outcome is unknown.
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

    async fn admit(&self) -> Result<AdmissionDecision, ActorError> {
        let is_config_behind = !self.has_configuration().await;
        let (reply, decision) = oneshot::channel();
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
            return decision.await.map_err(|_| actor_ended());
        }
        let mut decision = decision;
        tokio::select! {
            decision = &mut decision => return decision.map_err(|_| actor_ended()),
            () = self.sender.closed() => {}
        }
        // The actor may have admitted the call just before the caller disconnected.
        decision.close();
        if let Ok(AdmissionDecision::Run(number)) = decision.try_recv() {
            self.record_result(number, CallResult::NotStarted).await;
        }
        Err(actor_ended())
    }

    /// Waits briefly for the configuration revision that the entry had when it sent the call, and
    /// returns whether it is in force.
    async fn has_configuration(&self) -> bool {
        let deadline = Instant::now() + CONFIGURATION_TIMEOUT;
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

    /// Runs a plain call to its end, even if its caller disconnects, because a resend may request
    /// the answer.
    async fn answer(self, number: RequestNumber) {
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, self.state.endpoint.call(&self.call))
            .await
            .unwrap_or_else(|_| Err(self.state.endpoint.timeout_error(ANSWER_TIMEOUT)));
        match answered {
            Ok(answer) => {
                let answer = StoredAnswer {
                    status: answer.status,
                    content_type: answer.content_type.into(),
                    body: answer.body,
                };
                // The report still counts this call, because the entry records the call's end
                // itself.
                let report = self.state.report();
                self.record_result(number, CallResult::Answered(answer.clone()))
                    .await;
                self.send_answer(&answer, report).await;
            }
            Err(error) => self.fail(number, &error).await,
        }
    }

    /// Streams a completion until it ends or its caller disconnects.
    async fn stream(mut self, number: RequestNumber) {
        let sender = self.sender.clone();
        let streamed = tokio::select! {
            streamed = self.stream_events() => streamed,
            () = sender.closed() => Ok(()),
        };
        match streamed {
            Ok(()) => {
                // The report still counts this call, because the entry records the call's end
                // itself.
                let report = self.state.report();
                self.record_result(number, CallResult::Streamed).await;
                send_final(&self.sender, self.writer.finish(), report).await;
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
                self.record_result(number, CallResult::NotStarted).await;
                let refusal = Refusal::not_run(RefusalCode::EndpointUnreachable, OVERLOAD_RETRY_MS);
                self.refuse(&refusal).await;
            }
            EndpointError::Lost { .. } => {
                if self.state.endpoint.has_crashed().await {
                    self.fail_crashed(number, &message).await;
                    return;
                }
                let report = self.state.report();
                self.record_result(number, CallResult::Lost).await;
                let refusal = Refusal::unknown_final(RefusalCode::EndpointLost);
                let frame = self.writer.refuse(&refusal, &message);
                send_final(&self.sender, frame, report).await;
            }
            EndpointError::Status { .. } => {
                let report = self.state.report();
                self.record_result(number, CallResult::Streamed).await;
                let outcome = control::Outcome::NotRun;
                let frame = self
                    .writer
                    .fail(outcome, ENDPOINT_ERROR, &message, OVERLOAD_RETRY_MS);
                send_final(&self.sender, frame, report).await;
            }
        }
    }

    /// Answers a call during which the endpoint crashed, with the quarantine entry of its content.
    async fn fail_crashed(self, number: RequestNumber, message: &str) {
        let (recorded, crash_recorded) = oneshot::channel();
        self.submit(AgentCommand::Crashed { number, recorded })
            .await;
        let _ = crash_recorded.await;
        let content = ContentFingerprint(self.call.fingerprint);
        let quarantined = self.state.quarantine.entry_of(content);
        let refusal = Refusal::unknown_final(RefusalCode::EndpointCrashed);
        let frame = self.writer.fail_crashed(&refusal, message, quarantined);
        send_final(&self.sender, frame, self.state.report()).await;
    }

    async fn send_answer(mut self, answer: &StoredAnswer, report: AgentReport) {
        let head = self.writer.head(answer.status, &answer.content_type);
        let data = self.writer.data(answer.body.to_vec(), 0);
        let final_frame = self.writer.finish();
        for frame in [head, data] {
            if self.sender.send(Ok(frame)).await.is_err() {
                return;
            }
        }
        send_final(&self.sender, final_frame, report).await;
    }

    async fn answer_gone(self) {
        let message = "the call ran; its answer is no longer held";
        let outcome = control::Outcome::Ran;
        let frame = self.writer.fail(outcome, ANSWER_GONE, message, 0);
        send_final(&self.sender, frame, self.state.report()).await;
    }

    async fn refuse(self, refusal: &Refusal) {
        let vm_name = &self.state.vm_name;
        let message = format!("agent of {vm_name}: {}", refusal.code.as_str());
        let frame = self.writer.refuse(refusal, &message);
        send_final(&self.sender, frame, self.state.report()).await;
    }

    async fn record_result(&self, number: RequestNumber, result: CallResult) {
        self.submit(AgentCommand::Ended { number, result }).await;
    }

    /// Submits the end of a call to the actor. Waits while the actor's ring is full, since the end
    /// of a call must not be lost.
    async fn submit(&self, mut command: AgentCommand) {
        while let Err(returned) = self.state.actor.submit_or_return(command) {
            command = returned;
            tokio::time::sleep(RING_RETRY_DELAY).await;
        }
    }
}

/// Sends the final frame of an answer, with the agent's report in it.
async fn send_final(sender: &FrameSender, mut frame: CallFrame, report: AgentReport) {
    if let Some(Frame::Final(final_frame)) = &mut frame.frame {
        final_frame.word = Some(report);
    }
    // A caller that has disconnected needs no answer.
    let _ = sender.send(Ok(frame)).await;
}

fn actor_ended() -> ActorError {
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
