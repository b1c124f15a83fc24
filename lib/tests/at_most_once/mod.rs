//! Simulates callers, entries and agents around the production code that decides on calls that may
//! run at most once. The test chooses the order in which messages are delivered.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use pomeloramp_lib::AttemptNumber;
use pomeloramp_lib::AttemptPolicy;
use pomeloramp_lib::CallAttempt;
use pomeloramp_lib::CallDecision;
use pomeloramp_lib::CallKey;
use pomeloramp_lib::CallRegistry;
use pomeloramp_lib::CallRegistrySettings;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::Outcome;
use pomeloramp_lib::Placement;
use pomeloramp_lib::Refusal;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RetryAdvice;
use pomeloramp_lib::StoredAnswer;
use pomeloramp_lib::protos::control::PlacementHome;

pub const VMS: usize = 3;
pub const ENTRIES: usize = 3;
pub const CALLERS: usize = 5;
const PEER_KEY: &[u8] = b"peer key";
const SERVICE: &str = "order-commit";
const WINDOW_MS: u64 = 150;

/// Identifies all sends of one call under one placement.
type ChainId = usize;

/// One send in transit. `listener` is the number of the send whose caller gets the answer; `None` if
/// no caller waits for it.
#[derive(Debug, Clone)]
struct Send {
    chain: ChainId,
    listener: Option<u64>,
    entry: usize,
    call: CallKey,
    placement: String,
    attempt: AttemptNumber,
}

#[derive(Debug, Clone, PartialEq)]
enum Reply {
    Ran(StoredAnswer),
    AnswerGone,
    Refused(Refusal),
}

#[derive(Debug, Clone)]
enum Message {
    ToEntry(Send),
    ToAgent {
        vm: usize,
        incarnation: Incarnation,
        attempt: CallAttempt,
        send: Send,
    },
    FromAgent {
        send: Send,
        reply: Reply,
    },
    ToCaller {
        send: Send,
        reply: Reply,
    },
}

/// A call that an agent forwarded to its endpoint and that has not ended.
#[derive(Debug, Clone)]
struct EndpointRun {
    vm: usize,
    incarnation: Incarnation,
    chain: ChainId,
    call: CallKey,
}

/// How a call at an endpoint ends.
#[derive(Debug, Clone, Copy)]
pub enum EndpointEnd {
    Answers,
    RunsAndIsLost,
    IsLostBeforeRunning,
    NotStarted,
}

struct Agent {
    incarnation: Incarnation,
    clock_offset_ms: u64,
    registry: CallRegistry,
    waiting: Vec<(CallAttempt, Send)>,
    refuses_calls: bool,
}

#[derive(Default)]
struct Entry {
    suspended: bool,
    homes: HashMap<usize, PlacementHome>,
    cut_off: HashSet<usize>,
}

/// A caller that follows the interface contract: it waits for one send at a time, and a resend differs
/// only in its attempt number.
#[derive(Default)]
struct Caller {
    marks_attempts: bool,
    calls_started: u64,
    call: Option<CallerCall>,
    /// A call that was answered `not-run` and may start again under a fresh placement.
    restartable_call: Option<CallKey>,
    awaited_send: Option<u64>,
}

struct CallerCall {
    key: CallKey,
    chain: ChainId,
    placement: String,
    attempt: AttemptNumber,
}

/// Counts the answers that callers received, by outcome.
#[derive(Debug, Default, Clone)]
pub struct AnswerCounts {
    pub ran: u64,
    pub answer_gone: u64,
    pub not_run: u64,
    pub unknown: u64,
}

pub struct Simulation {
    max_digests: usize,
    now_ms: u64,
    entries: Vec<Entry>,
    agents: Vec<Option<Agent>>,
    callers: Vec<Caller>,
    messages: Vec<Message>,
    endpoint_runs: Vec<EndpointRun>,
    agents_started: u64,
    sends: u64,
    chains: usize,
    executions: Vec<(CallKey, ChainId)>,
    not_run_chains: HashSet<ChainId>,
    pub answer_counts: AnswerCounts,
}

impl Simulation {
    /// Creates a simulation without faults. Each agent keeps up to `max_digests` digests of calls whose
    /// answer window has ended.
    pub fn new(max_digests: usize) -> Self {
        let mut simulation = Self {
            max_digests,
            now_ms: 0,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            agents: (0..VMS).map(|_| None).collect(),
            callers: (0..CALLERS).map(|_| Caller::default()).collect(),
            messages: Vec::new(),
            endpoint_runs: Vec::new(),
            agents_started: 0,
            sends: 0,
            chains: 0,
            executions: Vec::new(),
            not_run_chains: HashSet::new(),
            answer_counts: AnswerCounts::default(),
        };
        for (id, caller) in simulation.callers.iter_mut().enumerate() {
            caller.marks_attempts = id > 0;
        }
        for vm in 0..VMS {
            simulation.start_agent(vm);
        }
        for entry in 0..ENTRIES {
            for vm in 0..VMS {
                simulation.heartbeat(entry, vm);
            }
        }
        simulation
    }

    pub fn advance(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
    }

    /// Starts an agent with a new incarnation and its own clock offset, unless the VM has one.
    pub fn start_agent(&mut self, vm: usize) {
        if self.agents[vm].is_some() {
            return;
        }
        self.agents_started += 1;
        let incarnation = Incarnation(self.agents_started);
        let settings = CallRegistrySettings::builder()
            .max_records(2)
            .max_records_per_organisation(2)
            .max_voids(1)
            .max_answer_bytes(60)
            .max_answer_bytes_per_organisation(60)
            .answer_window_ms(WINDOW_MS)
            .digest_horizon_ms(1_000 * WINDOW_MS)
            .max_digests(self.max_digests)
            .retry_after_ms(10)
            .build();
        self.agents[vm] = Some(Agent {
            incarnation,
            clock_offset_ms: self.agents_started * 7_919 % 1_000,
            registry: CallRegistry::new(settings, incarnation),
            waiting: Vec::new(),
            refuses_calls: false,
        });
    }

    /// Kills an agent. If its VM fails with it, calls that its endpoint has not run yet are lost too.
    pub fn kill_agent(&mut self, vm: usize, with_vm: bool) {
        let Some(agent) = self.agents[vm].take() else {
            return;
        };
        for (_, send) in agent.waiting {
            self.report_lost_answer(send);
        }
        let lost = self.messages.extract_if(.., |message| {
            matches!(message, Message::ToAgent { incarnation, .. } if *incarnation == agent.incarnation)
        });
        let lost: Vec<_> = lost.collect();
        for message in lost {
            if let Message::ToAgent { send, .. } = message {
                self.report_lost_answer(send);
            }
        }
        if with_vm {
            self.endpoint_runs.retain(|run| run.vm != vm);
        }
    }

    /// Replaces an entry by a new one without state; the messages of the old one are lost.
    pub fn replace_entry(&mut self, entry: usize) {
        self.entries[entry] = Entry::default();
        self.messages.retain(|message| match message {
            Message::ToEntry(send)
            | Message::FromAgent { send, .. }
            | Message::ToCaller { send, .. } => send.entry != entry,
            Message::ToAgent { .. } => true,
        });
        for message in &mut self.messages {
            if let Message::ToAgent { send, .. } = message {
                discard_answer(send, entry);
            }
        }
        for agent in self.agents.iter_mut().flatten() {
            for (_, send) in &mut agent.waiting {
                discard_answer(send, entry);
            }
        }
    }

    pub fn set_suspended(&mut self, entry: usize, suspended: bool) {
        self.entries[entry].suspended = suspended;
    }

    pub fn set_cut_off(&mut self, entry: usize, vm: usize, cut_off: bool) {
        if cut_off {
            self.entries[entry].cut_off.insert(vm);
        } else {
            self.entries[entry].cut_off.remove(&vm);
        }
    }

    /// Makes an agent refuse new calls, as for a full queue.
    pub fn set_refusing(&mut self, vm: usize, refuses_calls: bool) {
        if let Some(agent) = &mut self.agents[vm] {
            agent.refuses_calls = refuses_calls;
        }
    }

    /// Delivers a heartbeat, which carries an agent's incarnation and clock to an entry.
    pub fn heartbeat(&mut self, entry: usize, vm: usize) {
        let reachable =
            !self.entries[entry].suspended && !self.entries[entry].cut_off.contains(&vm);
        let Some(agent) = self.agents[vm].as_ref().filter(|_| reachable) else {
            return;
        };
        let home = PlacementHome {
            vm_name: vm.to_string(),
            peer_address: String::new(),
            incarnation: agent.incarnation.0,
            stamp_ms: self.now_ms + agent.clock_offset_ms,
        };
        self.entries[entry].homes.insert(vm, home);
    }

    /// Makes an idle caller start its next call, or restart a call that was not run.
    pub fn start_call(&mut self, caller_id: usize, entry: usize) {
        let caller = &mut self.callers[caller_id];
        let entry_state = &self.entries[entry];
        if caller.call.is_some() || entry_state.suspended || entry_state.homes.is_empty() {
            return;
        }
        let key = caller.restartable_call.take().unwrap_or_else(|| {
            caller.calls_started += 1;
            let key = format!("key-{}", caller.calls_started);
            CallKey::new(&format!("org-{caller_id}"), &key)
        });
        self.send_first_attempt(caller_id, entry, key);
    }

    /// Resends the call of a caller, which then ignores the answer to its earlier send.
    pub fn resend(&mut self, caller_id: usize, entry: usize) {
        let caller = &mut self.callers[caller_id];
        if let Some(call) = &mut caller.call {
            if caller.marks_attempts {
                call.attempt = call.attempt.next();
            }
            self.send(caller_id, entry);
        }
    }

    /// Makes a caller abandon its call.
    pub fn abandon_call(&mut self, caller_id: usize) {
        let caller = &mut self.callers[caller_id];
        caller.call = None;
        caller.restartable_call = None;
        caller.awaited_send = None;
    }

    pub fn deliver(&mut self, index: usize) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        if self.is_blocked(&self.messages[index]) {
            return;
        }
        match self.messages.swap_remove(index) {
            Message::ToEntry(send) => self.forward(send),
            Message::ToAgent {
                vm, attempt, send, ..
            } => self.admit(vm, attempt, send),
            Message::FromAgent { send, reply } => {
                self.messages.push(Message::ToCaller { send, reply });
            }
            Message::ToCaller { send, reply } => self.receive(&send, reply),
        }
    }

    /// Duplicates a request to an agent; the answer to the copy is ignored.
    pub fn duplicate(&mut self, index: usize) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let mut copy = self.messages[index].clone();
        if let Message::ToAgent { send, .. } = &mut copy {
            send.listener = None;
            self.messages.push(copy);
        }
    }

    /// Loses an answer between agent and entry; the entry detects the loss.
    pub fn drop_answer(&mut self, index: usize) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        if let Message::FromAgent { .. } = &self.messages[index]
            && let Message::FromAgent { send, .. } = self.messages.swap_remove(index)
        {
            self.report_lost_answer(send);
        }
    }

    /// Ends one of the calls at the endpoints as `end` says.
    pub fn step_endpoint(&mut self, index: usize, end: EndpointEnd) {
        if self.endpoint_runs.is_empty() {
            return;
        }
        let index = index % self.endpoint_runs.len();
        let run = self.endpoint_runs.swap_remove(index);
        let ran = matches!(end, EndpointEnd::Answers | EndpointEnd::RunsAndIsLost);
        if ran {
            self.executions.push((run.call.clone(), run.chain));
        }
        let answer = answer_of(&run.call, self.executions.len());
        let now_ms = self.now_ms;
        let Some(agent) = self.agents[run.vm].as_mut() else {
            return;
        };
        if agent.incarnation != run.incarnation {
            return;
        }
        let clock_ms = now_ms + agent.clock_offset_ms;
        match end {
            EndpointEnd::Answers => {
                agent.registry.finish(&run.call, answer, clock_ms);
            }
            EndpointEnd::NotStarted => {
                agent.registry.not_started(&run.call);
                self.refuse_not_started(&run);
            }
            EndpointEnd::RunsAndIsLost | EndpointEnd::IsLostBeforeRunning => {
                agent.registry.record_lost(&run.call, clock_ms);
            }
        }
        self.decide_waiting_sends(run.vm, &run.call);
    }

    /// Ends every fault, delivers all messages in transit and ends all calls, without new sends.
    pub fn settle(&mut self) {
        for entry in &mut self.entries {
            entry.suspended = false;
            entry.cut_off.clear();
        }
        for agent in self.agents.iter_mut().flatten() {
            agent.refuses_calls = false;
        }
        while !self.messages.is_empty() || !self.endpoint_runs.is_empty() {
            self.deliver(0);
            self.step_endpoint(0, EndpointEnd::Answers);
        }
    }

    /// Checks that no call ran twice and that none ran under a placement for which its caller received
    /// `not-run`.
    pub fn check(&self) {
        let mut executed = HashSet::new();
        for (call, chain) in &self.executions {
            assert!(
                executed.insert(call),
                "{call:?} ran twice: {:?}",
                self.executions
            );
            assert!(
                !self.not_run_chains.contains(chain),
                "{call:?} ran although its caller received not-run"
            );
        }
    }

    fn send_first_attempt(&mut self, caller_id: usize, entry: usize, key: CallKey) {
        let mut homes: Vec<_> = self.entries[entry].homes.values().cloned().collect();
        homes.sort_by(|left, right| left.vm_name.cmp(&right.vm_name));
        self.chains += 1;
        let caller = &mut self.callers[caller_id];
        let attempt = if caller.marks_attempts {
            AttemptNumber::FIRST
        } else {
            AttemptNumber::UNMARKED
        };
        caller.call = Some(CallerCall {
            key,
            chain: self.chains,
            placement: Placement::new(SERVICE, 1, homes).encode(PEER_KEY),
            attempt,
        });
        self.send(caller_id, entry);
    }

    fn send(&mut self, caller_id: usize, entry: usize) {
        self.sends += 1;
        let caller = &mut self.callers[caller_id];
        caller.awaited_send = Some(self.sends);
        let Some(call) = &caller.call else { return };
        self.messages.push(Message::ToEntry(Send {
            chain: call.chain,
            listener: Some(self.sends),
            entry,
            call: call.key.clone(),
            placement: call.placement.clone(),
            attempt: call.attempt,
        }));
    }

    fn is_blocked(&self, message: &Message) -> bool {
        match message {
            Message::ToEntry(send)
            | Message::FromAgent { send, .. }
            | Message::ToCaller { send, .. } => self.entries[send.entry].suspended,
            Message::ToAgent { .. } => false,
        }
    }

    fn forward(&mut self, send: Send) {
        let placement = Placement::decode(&send.placement, PEER_KEY, SERVICE)
            .expect("a placement of this simulation");
        let home = placement
            .home(&send.call.organisation, &send.call.key)
            .expect("placement has homes");
        let vm: usize = home.vm_name.parse().expect("VM name is its number");
        let cut_off = self.entries[send.entry].cut_off.contains(&vm);
        let Some(agent) = self.agents[vm].as_ref().filter(|_| !cut_off) else {
            let policy = AttemptPolicy::new(send.attempt, 10);
            let refusal = policy.refuse_unwritten(RefusalCode::HomeUnreachable);
            let reply = Reply::Refused(refusal);
            self.messages.push(Message::ToCaller { send, reply });
            return;
        };
        let attempt = CallAttempt {
            call: send.call.clone(),
            body_digest: 1,
            incarnation: Incarnation(home.incarnation),
            stamp_ms: home.stamp_ms,
            attempt: send.attempt,
        };
        let incarnation = agent.incarnation;
        self.messages.push(Message::ToAgent {
            vm,
            incarnation,
            attempt,
            send,
        });
    }

    fn admit(&mut self, vm: usize, attempt: CallAttempt, send: Send) {
        let Some(agent) = self.agents[vm].as_mut() else {
            return;
        };
        let clock_ms = self.now_ms + agent.clock_offset_ms;
        let decision = if agent.refuses_calls {
            let code = RefusalCode::QueueFull;
            agent.registry.refuse(&attempt, code, 10, clock_ms)
        } else {
            agent.registry.admit(&attempt, clock_ms)
        };
        let reply = match decision {
            CallDecision::Run => {
                self.endpoint_runs.push(EndpointRun {
                    vm,
                    incarnation: agent.incarnation,
                    chain: send.chain,
                    call: attempt.call.clone(),
                });
                agent.waiting.push((attempt, send));
                return;
            }
            CallDecision::Attach => {
                agent.waiting.push((attempt, send));
                return;
            }
            CallDecision::Replay(answer) => Reply::Ran(answer.clone()),
            CallDecision::AnswerGone => Reply::AnswerGone,
            CallDecision::Refused(refusal) => Reply::Refused(refusal),
        };
        self.messages.push(Message::FromAgent { send, reply });
    }

    /// Submits every send that waited for a call to the registry again once the call has ended.
    fn decide_waiting_sends(&mut self, vm: usize, call: &CallKey) {
        let Some(agent) = self.agents[vm].as_mut() else {
            return;
        };
        let waiting = agent
            .waiting
            .extract_if(.., |(attempt, _)| attempt.call == *call);
        let waiting: Vec<_> = waiting.collect();
        for (attempt, send) in waiting {
            self.admit(vm, attempt, send);
        }
    }

    /// Refuses the send that started a run because its endpoint was unreachable.
    fn refuse_not_started(&mut self, run: &EndpointRun) {
        let Some(agent) = self.agents[run.vm].as_mut() else {
            return;
        };
        let started = |(_, send): &(CallAttempt, Send)| send.chain == run.chain;
        let Some(index) = agent.waiting.iter().position(started) else {
            return;
        };
        let (_, send) = agent.waiting.remove(index);
        let refusal = Refusal::not_run(RefusalCode::EndpointUnreachable, 10);
        let reply = Reply::Refused(refusal);
        self.messages.push(Message::FromAgent { send, reply });
    }

    fn report_lost_answer(&mut self, send: Send) {
        let policy = AttemptPolicy::new(send.attempt, 10);
        let reply = Reply::Refused(policy.answer_lost(RefusalCode::HomeLost));
        self.messages.push(Message::ToCaller { send, reply });
    }

    fn receive(&mut self, send: &Send, reply: Reply) {
        let awaits_answer =
            |caller: &Caller| send.listener.is_some() && caller.awaited_send == send.listener;
        let Some(caller_id) = self.callers.iter().position(awaits_answer) else {
            return;
        };
        self.callers[caller_id].awaited_send = None;
        let executions = self.executions.iter().enumerate();
        let mut executions_of_call = executions.filter(|(_, (call, _))| *call == send.call);
        match reply {
            Reply::Ran(answer) => {
                let (index, _) = executions_of_call.next().expect("an answered call ran");
                assert_eq!(answer, answer_of(&send.call, index + 1));
                self.answer_counts.ran += 1;
                self.callers[caller_id].call = None;
            }
            Reply::AnswerGone => {
                assert!(
                    executions_of_call.next().is_some(),
                    "{:?} was answered as run but did not run",
                    send.call
                );
                self.answer_counts.answer_gone += 1;
                self.callers[caller_id].call = None;
            }
            Reply::Refused(refusal) => self.receive_refusal(caller_id, send, refusal),
        }
    }

    fn receive_refusal(&mut self, caller_id: usize, send: &Send, refusal: Refusal) {
        assert_ne!(refusal.code, RefusalCode::KeyReused);
        assert_ne!(refusal.code, RefusalCode::PlacementInvalid);
        if refusal.outcome == Outcome::Unknown {
            self.answer_counts.unknown += 1;
            return;
        }
        assert!(matches!(refusal.retry, RetryAdvice::FreshPlacement { .. }));
        self.answer_counts.not_run += 1;
        self.not_run_chains.insert(send.chain);
        let caller = &mut self.callers[caller_id];
        caller.call = None;
        caller.restartable_call = Some(send.call.clone());
    }
}

/// Discards the answer to a send that went through `entry`.
fn discard_answer(send: &mut Send, entry: usize) {
    if send.entry == entry {
        send.listener = None;
    }
}

fn answer_of(call: &CallKey, execution: usize) -> StoredAnswer {
    let body = format!("{}/{}/{execution}", call.organisation, call.key);
    StoredAnswer {
        status: 200,
        content_type: "t".into(),
        body: Bytes::from(body),
    }
}
