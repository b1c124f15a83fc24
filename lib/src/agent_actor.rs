//! The actor of an agent, which admits and queues calls and records their results.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::oneshot;

use crate::Admission;
use crate::CallAttempt;
use crate::CallDecision;
use crate::CallKey;
use crate::CallRegistry;
use crate::Clock;
use crate::ContentFingerprint;
use crate::EndpointRuns;
use crate::FairQueue;
use crate::IdleTimeTracker;
use crate::QueueAction;
use crate::QueuedRequest;
use crate::Refusal;
use crate::RefusalCode;
use crate::RequestNumber;
use crate::StartPermit;
use crate::actor::Actor;
use crate::actor::ActorInput;
use crate::agent_command::AdmissionDecision;
use crate::agent_command::AgentCommand;
use crate::agent_command::CallAdmission;
use crate::agent_command::CallResult;
use crate::event;
use crate::idle_report;
use crate::protos::control::LoadReport;
use crate::shared_quarantine::SharedQuarantine;

const RING_CAPACITY: usize = 4096;
const TICK: Duration = Duration::from_millis(20);
/// Reciprocal weight of a new sample in the moving average of the run time.
const MEAN_DIVISOR: u64 = 8;
const INITIAL_RUN_MS: u64 = 100;
const REFUSED_RETRY_MS: u64 = 200;

/// The agent's current load, for its reports to entries.
pub(crate) type SharedLoad = Arc<ArcSwap<LoadReport>>;

/// A call that is queued or running.
struct PendingCall {
    organisation: String,
    attempt: Option<CallAttempt>,
    queued_tokens: u64,
    content: ContentFingerprint,
    deadline_ms: u64,
    /// Present until the call is admitted or refused.
    reply: Option<oneshot::Sender<AdmissionDecision>>,
    started_ms: u64,
}

/// A resend that waits for the end of the running call.
struct AttachedSend {
    attempt: CallAttempt,
    reply: oneshot::Sender<AdmissionDecision>,
}

/// State of the agent's actor.
pub(crate) struct AgentActor {
    clock: Clock,
    registry: CallRegistry,
    queue: FairQueue,
    tracker: IdleTimeTracker,
    runs: EndpointRuns,
    /// Calls with suspected content that have a slot and wait until no other call runs.
    awaiting_isolation: VecDeque<RequestNumber>,
    quarantine: SharedQuarantine,
    load: SharedLoad,
    capacity: u32,
    is_draining: bool,
    next_number: u64,
    pending: HashMap<RequestNumber, PendingCall>,
    attached: HashMap<CallKey, Vec<AttachedSend>>,
    mean_run_ms: u64,
}

impl AgentActor {
    /// Creates the actor of a newly started agent.
    pub(crate) fn new(
        clock: Clock,
        registry: CallRegistry,
        queue: FairQueue,
        capacity: u32,
        load: SharedLoad,
        quarantine: SharedQuarantine,
    ) -> Self {
        Self {
            runs: EndpointRuns::new(),
            awaiting_isolation: VecDeque::new(),
            quarantine,
            tracker: IdleTimeTracker::new(capacity, clock.now_ms()),
            clock,
            registry,
            queue,
            load,
            capacity,
            is_draining: false,
            next_number: 0,
            pending: HashMap::new(),
            attached: HashMap::new(),
            mean_run_ms: INITIAL_RUN_MS,
        }
    }

    /// Starts the thread.
    pub(crate) fn spawn(mut self) -> Actor<AgentCommand> {
        self.publish_load();
        Actor::spawn("agent", RING_CAPACITY, TICK, move |wake| {
            let now_ms = self.clock.now_ms();
            match wake {
                ActorInput::Command(command) => self.handle(command, now_ms),
                ActorInput::Tick => {
                    self.registry.expire(now_ms);
                    self.quarantine.expire();
                }
            }
            self.dispatch(now_ms);
            self.publish_load();
        })
    }

    fn handle(&mut self, command: AgentCommand, now_ms: u64) {
        match command {
            AgentCommand::Admit(admission) => self.admit(admission, now_ms),
            AgentCommand::Ended { number, result } => self.finish_call(number, result, now_ms),
            AgentCommand::Crashed { number, recorded } => {
                self.record_crash(number);
                self.finish_call(number, CallResult::Lost, now_ms);
                let _ = recorded.send(());
            }
            AgentCommand::SetParameters(parameters) => {
                self.queue.set_parameters(&parameters, now_ms);
                self.tracker.set_parameters(&parameters, now_ms);
            }
            AgentCommand::Drain => {
                self.is_draining = true;
                self.queue.drain();
            }
            AgentCommand::IdleTimes { service, reply } => {
                self.tracker.advance(now_ms);
                let _ = reply.send(idle_report(&self.tracker, &service));
            }
        }
    }

    fn admit(&mut self, admission: CallAdmission, now_ms: u64) {
        let refusal_code = self.refusal_code(&admission);
        let Some(attempt) = &admission.attempt else {
            match refusal_code {
                Some(code) => {
                    let refusal = Refusal::not_run(code, REFUSED_RETRY_MS);
                    let _ = admission.reply.send(AdmissionDecision::Refused(refusal));
                }
                None => self.offer(admission, now_ms),
            }
            return;
        };
        let call_decision = match refusal_code {
            Some(code) => self
                .registry
                .refuse(attempt, code, REFUSED_RETRY_MS, now_ms),
            None => self.registry.admit(attempt, now_ms),
        };
        match admission_decision(&call_decision) {
            Some(AdmissionDecision::Run(_)) => self.offer(admission, now_ms),
            Some(decision) => {
                let _ = admission.reply.send(decision);
            }
            None => self.attach(attempt.clone(), admission.reply),
        }
    }

    /// Returns the reason for which new calls are refused now, if there is one.
    fn refusal_code(&self, admission: &CallAdmission) -> Option<RefusalCode> {
        if self.is_draining {
            Some(RefusalCode::Draining)
        } else if admission.is_config_behind {
            Some(RefusalCode::ConfigurationBehind)
        } else {
            None
        }
    }

    fn attach(&mut self, attempt: CallAttempt, reply: oneshot::Sender<AdmissionDecision>) {
        self.attached
            .entry(attempt.call.clone())
            .or_default()
            .push(AttachedSend { attempt, reply });
    }

    fn offer(&mut self, admission: CallAdmission, now_ms: u64) {
        let number = RequestNumber(self.next_number);
        self.next_number += 1;
        let deadline_ms = now_ms.saturating_add(admission.time_left_ms);
        let request = QueuedRequest {
            number,
            organisation: admission.organisation.clone(),
            deadline_ms,
            expected_run_ms: self.mean_run_ms.min(admission.time_left_ms),
        };
        let pending = PendingCall {
            organisation: admission.organisation,
            attempt: admission.attempt,
            queued_tokens: admission.queued_tokens,
            content: admission.content,
            deadline_ms,
            reply: Some(admission.reply),
            started_ms: now_ms,
        };
        self.pending.insert(number, pending);
        match self.queue.offer(request, now_ms) {
            Admission::Start(started) => self.start(started.number, now_ms),
            Admission::Queued {
                displaced,
                retry_after_ms,
            } => {
                if let Some(displaced) = displaced {
                    self.refuse_pending(displaced, RefusalCode::QueueFull, retry_after_ms, now_ms);
                }
            }
            Admission::Refused {
                code,
                retry_after_ms,
            } => self.refuse_pending(number, code, retry_after_ms, now_ms),
        }
    }

    /// Starts a call that has a slot, unless its content is suspected and other calls are running.
    fn start(&mut self, number: RequestNumber, now_ms: u64) {
        let Some(pending) = self.pending.get(&number) else {
            return;
        };
        let content = pending.content;
        let content_status = self.quarantine.content_status(content);
        match self.runs.try_start(number, content, content_status) {
            StartPermit::Started => self.admit_to_run(number, now_ms),
            StartPermit::Wait => self.awaiting_isolation.push_back(number),
            StartPermit::Refused => {
                self.queue.finish(number, now_ms);
                self.refuse_pending(number, RefusalCode::Quarantined, 0, now_ms);
            }
        }
    }

    /// Starts the calls that wait until no other call runs, where possible, and refuses those whose
    /// deadline has passed.
    fn start_awaiting_isolation(&mut self, now_ms: u64) {
        for number in std::mem::take(&mut self.awaiting_isolation) {
            let deadline_ms = self
                .pending
                .get(&number)
                .map_or(0, |pending| pending.deadline_ms);
            if deadline_ms > now_ms {
                self.start(number, now_ms);
                continue;
            }
            self.runs.withdraw(number);
            self.queue.finish(number, now_ms);
            self.refuse_pending(
                number,
                RefusalCode::DeadlineUnreachable,
                REFUSED_RETRY_MS,
                now_ms,
            );
        }
    }

    /// Sends the decision to run a call, or ends the call if its caller is gone.
    fn admit_to_run(&mut self, number: RequestNumber, now_ms: u64) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        pending.started_ms = now_ms;
        self.tracker.observe_start(&pending.organisation, now_ms);
        let is_sent = pending
            .reply
            .take()
            .is_some_and(|reply| reply.send(AdmissionDecision::Run(number)).is_ok());
        if !is_sent {
            self.finish_call(number, CallResult::NotStarted, now_ms);
        }
    }

    /// Voids a call that has not started, then refuses it.
    fn refuse_pending(
        &mut self,
        number: RequestNumber,
        code: RefusalCode,
        retry_after_ms: u64,
        now_ms: u64,
    ) {
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        if let Some(attempt) = &pending.attempt {
            self.registry.not_started(&attempt.call);
        }
        if let Some(reply) = pending.reply {
            let refusal = Refusal::not_run(code, retry_after_ms);
            let _ = reply.send(AdmissionDecision::Refused(refusal));
        }
        self.decide_attached(pending.attempt.as_ref(), now_ms);
    }

    fn finish_call(&mut self, number: RequestNumber, result: CallResult, now_ms: u64) {
        self.queue.finish(number, now_ms);
        self.record_content_result(number, &result);
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        self.tracker.observe_finish(&pending.organisation, now_ms);
        let run_ms = now_ms.saturating_sub(pending.started_ms);
        if !matches!(result, CallResult::NotStarted) {
            self.mean_run_ms -= self.mean_run_ms / MEAN_DIVISOR;
            self.mean_run_ms += run_ms / MEAN_DIVISOR;
        }
        if let Some(attempt) = &pending.attempt {
            match result {
                CallResult::Answered(answer) => {
                    self.registry.finish(&attempt.call, answer, now_ms);
                }
                CallResult::NotStarted => self.registry.not_started(&attempt.call),
                CallResult::Streamed | CallResult::Lost => {
                    self.registry.record_lost(&attempt.call, now_ms);
                }
            }
        }
        self.decide_attached(pending.attempt.as_ref(), now_ms);
    }

    /// Records a crash for all running content. Every running call reports the same crash, so only
    /// the first report has an effect.
    fn record_crash(&mut self, number: RequestNumber) {
        if self.runs.is_running(number) {
            event!(EndpointCrashed);
            let contents = self.runs.crashed();
            self.quarantine.record_crash(&contents);
        }
    }

    /// Clears the content of a call that ran alone and ended without a crash.
    fn record_content_result(&mut self, number: RequestNumber, result: &CallResult) {
        let ran_alone = self.runs.ended(number);
        if let Some(content) = ran_alone
            && matches!(result, CallResult::Answered(_) | CallResult::Streamed)
        {
            self.quarantine.record_solo_success(content);
        }
    }

    /// Decides again on the resends that waited for the end of a call.
    fn decide_attached(&mut self, ended_attempt: Option<&CallAttempt>, now_ms: u64) {
        let Some(sends) = ended_attempt.and_then(|attempt| self.attached.remove(&attempt.call))
        else {
            return;
        };
        for send in sends {
            let call_decision =
                self.registry
                    .refuse(&send.attempt, RefusalCode::CallVoided, 0, now_ms);
            match admission_decision(&call_decision) {
                Some(decision) => {
                    let _ = send.reply.send(decision);
                }
                None => self.attach(send.attempt, send.reply),
            }
        }
    }

    fn dispatch(&mut self, now_ms: u64) {
        self.start_awaiting_isolation(now_ms);
        for action in self.queue.next(now_ms) {
            match action {
                QueueAction::Start(started) => self.start(started.number, now_ms),
                QueueAction::Expired {
                    number,
                    retry_after_ms,
                } => self.refuse_pending(
                    number,
                    RefusalCode::DeadlineUnreachable,
                    retry_after_ms,
                    now_ms,
                ),
            }
        }
    }

    fn publish_load(&self) {
        let queued_tokens = self
            .pending
            .values()
            .filter(|pending| pending.reply.is_some())
            .map(|pending| pending.queued_tokens)
            .sum();
        self.load.store(Arc::new(LoadReport {
            running_requests: saturating_u32(self.queue.running_requests()),
            queued_requests: saturating_u32(self.queue.queued_requests()),
            queued_tokens,
            capacity: self.capacity,
            prefill_tokens_per_s: 0,
        }));
    }
}

/// Converts a decision of the registry. Returns `None` for a send that waits for the running call.
fn admission_decision(call_decision: &CallDecision<'_>) -> Option<AdmissionDecision> {
    match call_decision {
        CallDecision::Run => Some(AdmissionDecision::Run(RequestNumber(0))),
        CallDecision::Attach => None,
        CallDecision::Replay(answer) => Some(AdmissionDecision::Replay((*answer).clone())),
        CallDecision::AnswerGone => Some(AdmissionDecision::AnswerGone),
        CallDecision::Refused(refusal) => Some(AdmissionDecision::Refused(*refusal)),
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
