//! The actor of an agent that admits calls, queues them and records how they ended.

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
use crate::agent_command::AgentCommand;
use crate::agent_command::CallAdmission;
use crate::agent_command::CallEnd;
use crate::agent_command::Verdict;
use crate::event;
use crate::idle_report;
use crate::protos::control::LoadReport;
use crate::shared_quarantine::SharedQuarantine;

const RING_CAPACITY: usize = 4096;
const TICK: Duration = Duration::from_millis(20);
/// Weight of one new sample in the mean run time, as a divisor.
const MEAN_DIVISOR: u64 = 8;
const INITIAL_RUN_MS: u64 = 100;
const REFUSED_RETRY_MS: u64 = 200;

/// Load as the agent itself knows it, for heartbeats.
pub(crate) type SharedLoad = Arc<ArcSwap<LoadReport>>;

struct PendingCall {
    organisation: String,
    attempt: Option<CallAttempt>,
    queued_tokens: u64,
    content: ContentFingerprint,
    deadline_ms: u64,
    /// Present until the call is told to run or refused.
    reply: Option<oneshot::Sender<Verdict>>,
    started_ms: u64,
}

struct AttachedSend {
    attempt: CallAttempt,
    reply: oneshot::Sender<Verdict>,
}

/// State of the actor.
pub(crate) struct AgentActor {
    clock: Clock,
    registry: CallRegistry,
    queue: FairQueue,
    tracker: IdleTimeTracker,
    runs: EndpointRuns,
    /// Calls with a slot that wait for an empty endpoint.
    held: VecDeque<RequestNumber>,
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
            held: VecDeque::new(),
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
            AgentCommand::Ended { number, end } => self.ended(number, end, now_ms),
            AgentCommand::Crashed { number, noted } => {
                self.note_crash(number);
                self.ended(number, CallEnd::Lost, now_ms);
                let _ = noted.send(());
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
                    let _ = admission.reply.send(Verdict::Refused(refusal));
                }
                None => self.offer(admission, now_ms),
            }
            return;
        };
        let decision = match refusal_code {
            Some(code) => self
                .registry
                .refuse(attempt, code, REFUSED_RETRY_MS, now_ms),
            None => self.registry.admit(attempt, now_ms),
        };
        match verdict_of(&decision) {
            Some(Verdict::Run(_)) => self.offer(admission, now_ms),
            Some(verdict) => {
                let _ = admission.reply.send(verdict);
            }
            None => self.attach(attempt.clone(), admission.reply),
        }
    }

    /// Returns why no new call may start now.
    fn refusal_code(&self, admission: &CallAdmission) -> Option<RefusalCode> {
        if self.is_draining {
            Some(RefusalCode::Draining)
        } else if admission.is_config_behind {
            Some(RefusalCode::ConfigurationBehind)
        } else {
            None
        }
    }

    fn attach(&mut self, attempt: CallAttempt, reply: oneshot::Sender<Verdict>) {
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
                    self.give_up(displaced, RefusalCode::QueueFull, retry_after_ms, now_ms);
                }
            }
            Admission::Refused {
                code,
                retry_after_ms,
            } => self.give_up(number, code, retry_after_ms, now_ms),
        }
    }

    /// Starts a call that has a slot, unless its content is suspected and others run.
    fn start(&mut self, number: RequestNumber, now_ms: u64) {
        let Some(pending) = self.pending.get(&number) else {
            return;
        };
        let content = pending.content;
        let standing = self.quarantine.standing(content);
        match self.runs.try_start(number, content, standing) {
            StartPermit::Started => self.tell_to_run(number, now_ms),
            StartPermit::Wait => self.held.push_back(number),
            StartPermit::Refused => {
                self.queue.finish(number, now_ms);
                self.give_up(number, RefusalCode::Quarantined, 0, now_ms);
            }
        }
    }

    /// Tries again to start the calls that wait for an empty endpoint.
    fn start_held(&mut self, now_ms: u64) {
        for number in std::mem::take(&mut self.held) {
            let deadline_ms = self.pending.get(&number).map_or(0, |held| held.deadline_ms);
            if deadline_ms > now_ms {
                self.start(number, now_ms);
                continue;
            }
            self.runs.withdraw(number);
            self.queue.finish(number, now_ms);
            self.give_up(
                number,
                RefusalCode::DeadlineUnreachable,
                REFUSED_RETRY_MS,
                now_ms,
            );
        }
    }

    /// Tells a call to run, unless its caller is gone.
    fn tell_to_run(&mut self, number: RequestNumber, now_ms: u64) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        pending.started_ms = now_ms;
        self.tracker.observe_start(&pending.organisation, now_ms);
        let told = pending
            .reply
            .take()
            .is_some_and(|reply| reply.send(Verdict::Run(number)).is_ok());
        if !told {
            self.ended(number, CallEnd::NotStarted, now_ms);
        }
    }

    /// Refuses a call that has not started; it is voided first.
    fn give_up(
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
            let _ = reply.send(Verdict::Refused(refusal));
        }
        self.settle_attached(pending.attempt.as_ref(), now_ms);
    }

    fn ended(&mut self, number: RequestNumber, end: CallEnd, now_ms: u64) {
        self.queue.finish(number, now_ms);
        self.settle_content(number, &end);
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        self.tracker.observe_finish(&pending.organisation, now_ms);
        let run_ms = now_ms.saturating_sub(pending.started_ms);
        if !matches!(end, CallEnd::NotStarted) {
            self.mean_run_ms -= self.mean_run_ms / MEAN_DIVISOR;
            self.mean_run_ms += run_ms / MEAN_DIVISOR;
        }
        if let Some(attempt) = &pending.attempt {
            match end {
                CallEnd::Answered(answer) => {
                    self.registry.finish(&attempt.call, answer, now_ms);
                }
                CallEnd::NotStarted => self.registry.not_started(&attempt.call),
                CallEnd::Streamed | CallEnd::Lost => self.registry.lose(&attempt.call, now_ms),
            }
        }
        self.settle_attached(pending.attempt.as_ref(), now_ms);
    }

    /// Notes a crash against all content that ran; every call that ran reports it.
    fn note_crash(&mut self, number: RequestNumber) {
        if self.runs.is_running(number) {
            event!(EndpointCrashed);
            let contents = self.runs.crashed();
            self.quarantine.crashed(&contents);
        }
    }

    /// Notes what the end of a call says of its content.
    fn settle_content(&mut self, number: RequestNumber, end: &CallEnd) {
        let alone = self.runs.ended(number);
        if let Some(content) = alone
            && matches!(end, CallEnd::Answered(_) | CallEnd::Streamed)
        {
            self.quarantine.ran_well_alone(content);
        }
    }

    /// Decides again on the sends that waited for the end of a call.
    fn settle_attached(&mut self, ended: Option<&CallAttempt>, now_ms: u64) {
        let Some(sends) = ended.and_then(|ended| self.attached.remove(&ended.call)) else {
            return;
        };
        for send in sends {
            let decision = self
                .registry
                .refuse(&send.attempt, RefusalCode::CallVoided, 0, now_ms);
            match verdict_of(&decision) {
                Some(verdict) => {
                    let _ = send.reply.send(verdict);
                }
                None => self.attach(send.attempt, send.reply),
            }
        }
    }

    fn dispatch(&mut self, now_ms: u64) {
        self.start_held(now_ms);
        for dispatch in self.queue.next(now_ms) {
            match dispatch {
                QueueAction::Start(started) => self.start(started.number, now_ms),
                QueueAction::Expired {
                    number,
                    retry_after_ms,
                } => self.give_up(
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
            running_requests: count(self.queue.running_requests()),
            queued_requests: count(self.queue.queued_requests()),
            queued_tokens,
            capacity: self.capacity,
            prefill_tokens_per_s: 0,
        }));
    }
}

/// Converts a decision; `None` stands for a send that waits for the running call.
fn verdict_of(decision: &CallDecision<'_>) -> Option<Verdict> {
    match decision {
        CallDecision::Run => Some(Verdict::Run(RequestNumber(0))),
        CallDecision::Attach => None,
        CallDecision::Replay(answer) => Some(Verdict::Replay((*answer).clone())),
        CallDecision::AnswerGone => Some(Verdict::AnswerGone),
        CallDecision::Refused(refusal) => Some(Verdict::Refused(*refusal)),
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
