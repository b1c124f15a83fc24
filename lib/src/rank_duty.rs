//! The duty of a rank's agent: what the rank promises, and the coordinator's run that it started.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::Clock;
use crate::Incarnation;
use crate::MapAction;
use crate::MapCoordinator;
use crate::MapEngineReport;
use crate::MapOrder;
use crate::MapOutcome;
use crate::MapParticipant;
use crate::MapReply;
use crate::MapRequest;
use crate::MapSend;
use crate::duty::Duty;
use crate::duty::Wake;
use crate::event;
use crate::protos::control::MapStateRequest;
use crate::protos::control::RankStatus;
use crate::protos::settings::RankGroupSettings;
use crate::rank_command::MapOrigin;
use crate::rank_command::MapProposal;
use crate::rank_command::RankCommand;
use crate::rank_command::RankSend;

const RING_CAPACITY: usize = 1024;
const TICK: Duration = Duration::from_millis(20);
/// Time between two reads of the engine's state while no map is staged.
const IDLE_POLL_INTERVAL_MS: u64 = 100;
/// Time between two reads while a map is staged.
const CHANGE_POLL_INTERVAL_MS: u64 = 40;
/// Wait at a switch step after which it is an event.
const HELD_EVENT_AFTER_MS: u64 = 1_000;
/// Silence after which a rank that was asked is named as a cause of a wait.
const SILENT_AFTER_MS: u64 = 1_000;

/// Requests that wait for the engine's answer to an order; more are refused as busy.
const MAX_WAITING_REQUESTS: usize = 64;

/// Where the duty's orders and messages go; what finds no room is lost, and sent again later.
pub(crate) struct RankOutlets {
    pub(crate) orders: mpsc::Sender<MapOrder>,
    pub(crate) sends: mpsc::Sender<RankSend>,
    /// The highest ballot that the rank has seen.
    pub(crate) ballot: watch::Sender<u64>,
}

/// State of the duty.
pub(crate) struct RankDuty {
    clock: Clock,
    group: String,
    rank: u32,
    lead_steps: u64,
    participant: MapParticipant,
    outlets: RankOutlets,
    replies: HashMap<u64, oneshot::Sender<MapReply>>,
    /// Whether an order to the engine has not been answered.
    is_order_in_flight: bool,
    /// Requests that would be refused for the order in flight.
    waiting: VecDeque<(MapRequest, oneshot::Sender<MapReply>)>,
    next_call: u64,
    next_poll_ms: u64,
    run: Option<CoordinatorRun>,
    /// When each rank last answered.
    heard_ms: Vec<Option<u64>>,
    waits_since_ms: Option<u64>,
    is_wait_told: bool,
    committed_plans: u64,
    aborted_plans: u64,
}

struct CoordinatorRun {
    nonce: u32,
    group_incarnation: u64,
    coordinator: MapCoordinator,
    /// Present for a run that proposes a map.
    ended: Option<oneshot::Sender<MapOutcome>>,
}

impl RankDuty {
    /// Creates the duty of a newly started agent, which knows nothing until its engine answers.
    pub(crate) fn new(
        clock: Clock,
        incarnation: Incarnation,
        settings: &RankGroupSettings,
        outlets: RankOutlets,
    ) -> Self {
        Self {
            clock,
            group: settings.group.clone(),
            rank: settings.rank,
            lead_steps: settings.lead_steps,
            participant: MapParticipant::new(incarnation, u64::from(settings.rank)),
            outlets,
            replies: HashMap::new(),
            is_order_in_flight: false,
            waiting: VecDeque::new(),
            next_call: 0,
            next_poll_ms: 0,
            run: None,
            heard_ms: vec![None; settings.agent_addresses.len()],
            waits_since_ms: None,
            is_wait_told: false,
            committed_plans: 0,
            aborted_plans: 0,
        }
    }

    /// Starts the thread.
    pub(crate) fn spawn(mut self) -> Duty<RankCommand> {
        Duty::spawn("rank", RING_CAPACITY, TICK, move |wake| {
            let now_ms = self.clock.now_ms();
            if let Wake::Command(command) = wake {
                self.handle(command, now_ms);
            }
            self.advance(now_ms);
        })
    }

    fn handle(&mut self, command: RankCommand, now_ms: u64) {
        match command {
            RankCommand::Request { request, reply } => self.requested(request, reply, now_ms),
            RankCommand::EngineReport(report) => {
                self.is_order_in_flight = false;
                self.engine_reported(report, now_ms);
                self.take_up_waiting(now_ms);
            }
            RankCommand::EngineLost => {
                self.is_order_in_flight = false;
                self.engine_lost(now_ms);
                self.take_up_waiting(now_ms);
            }
            RankCommand::Answer {
                rank,
                origin,
                reply,
            } => self.answered(rank, origin, &reply, now_ms),
            RankCommand::Propose { proposal, ended } => self.propose(proposal, ended, now_ms),
            RankCommand::Status { reply } => {
                let _ = reply.send(self.status(now_ms));
            }
        }
    }

    /// Polls the engine, pushes on what is undecided and lets a run go on.
    fn advance(&mut self, now_ms: u64) {
        if now_ms >= self.next_poll_ms {
            self.next_poll_ms = now_ms + self.poll_interval_ms();
            let actions = self.participant.tick(now_ms);
            self.act(actions, now_ms);
            self.note_wait(now_ms);
        }
        self.drop_run_of_other_formation();
        self.tell_ballot();
        if let Some(run) = &mut self.run {
            let sends = run.coordinator.tick(now_ms);
            self.send_of_run(sends);
            self.end_run();
        }
    }

    fn tell_ballot(&self) {
        let ballot = self.participant.highest_ballot();
        self.outlets.ballot.send_if_modified(|told| {
            let is_news = *told != ballot;
            *told = ballot;
            is_news
        });
    }

    fn poll_interval_ms(&self) -> u64 {
        let engine = self.participant.engine();
        let is_changing = engine.is_some_and(|engine| engine.staged.is_some());
        if is_changing {
            CHANGE_POLL_INTERVAL_MS
        } else {
            IDLE_POLL_INTERVAL_MS
        }
    }

    /// Answers a request, or lets it wait for the answer to the order in flight.
    fn requested(&mut self, request: MapRequest, reply: oneshot::Sender<MapReply>, now_ms: u64) {
        let is_question = matches!(&request, MapRequest::State(request) if request.ballot == 0);
        if self.is_order_in_flight && !is_question && self.waiting.len() < MAX_WAITING_REQUESTS {
            self.waiting.push_back((request, reply));
            return;
        }
        let call = self.next_call;
        self.next_call += 1;
        self.replies.insert(call, reply);
        let actions = self.participant.on_request(call, &request);
        self.act(actions, now_ms);
    }

    fn take_up_waiting(&mut self, now_ms: u64) {
        while !self.is_order_in_flight
            && let Some((request, reply)) = self.waiting.pop_front()
        {
            self.requested(request, reply, now_ms);
        }
    }

    fn engine_lost(&mut self, now_ms: u64) {
        if self.participant.engine().is_some() {
            event!(RankEngineLost, "group={} rank={}", self.group, self.rank);
        }
        let actions = self.participant.on_engine_lost();
        self.act(actions, now_ms);
    }

    fn engine_reported(&mut self, report: MapEngineReport, now_ms: u64) {
        let before = self.participant.engine();
        let actions = self.participant.on_engine_report(report, now_ms);
        let group_before = before.map(|before| before.group_incarnation);
        if group_before != Some(report.group_incarnation) {
            event!(
                RankGroupFormed,
                "group={} rank={} group_incarnation={} active_map={:#x}",
                self.group,
                self.rank,
                report.group_incarnation,
                report.active_map_id
            );
        } else if before.is_some_and(|before| before.active_map_id != report.active_map_id) {
            event!(
                MapInUse,
                "group={} rank={} active_map={:#x} step={}",
                self.group,
                self.rank,
                report.active_map_id,
                report.step
            );
        }
        self.act(actions, now_ms);
    }

    fn answered(&mut self, rank: usize, origin: MapOrigin, reply: &MapReply, now_ms: u64) {
        if let Some(heard_ms) = self.heard_ms.get_mut(rank) {
            *heard_ms = Some(now_ms);
        }
        if let Some(state) = RankSend::peer_state(origin, reply) {
            let actions = self.participant.on_peer_state(&state);
            self.act(actions, now_ms);
        }
        let MapOrigin::Run { nonce, call } = origin else {
            return;
        };
        if let Some(run) = &mut self.run
            && run.nonce == nonce
        {
            let sends = run.coordinator.on_reply(call, rank, reply, now_ms);
            self.send_of_run(sends);
            self.end_run();
        }
    }

    fn propose(&mut self, proposal: MapProposal, ended: oneshot::Sender<MapOutcome>, now_ms: u64) {
        // Without a sender the proposer learns that the run was not started.
        if self.run.is_none() {
            self.start_run(Some(proposal), Some(ended), now_ms);
        }
    }

    fn start_run(
        &mut self,
        proposal: Option<MapProposal>,
        ended: Option<oneshot::Sender<MapOutcome>>,
        now_ms: u64,
    ) {
        let Some(engine) = self.participant.engine() else {
            return;
        };
        let nonce = rand::random();
        let mut coordinator = MapCoordinator::builder()
            .group_incarnation(engine.group_incarnation)
            .rank_count(self.heard_ms.len())
            .nonce(nonce)
            .lead_steps(self.lead_steps)
            .min_step(proposal.as_ref().map_or(0, |proposal| proposal.min_step))
            .maybe_map_id(proposal.as_ref().and_then(|proposal| proposal.map_id))
            .maybe_proposal(proposal.map(|proposal| proposal.replicas))
            .build();
        let sends = coordinator.start(now_ms);
        self.run = Some(CoordinatorRun {
            nonce,
            group_incarnation: engine.group_incarnation,
            coordinator,
            ended,
        });
        self.send_of_run(sends);
    }

    /// Gives up a run that was addressed to a formation of the group that is no more.
    fn drop_run_of_other_formation(&mut self) {
        let Some(engine) = self.participant.engine() else {
            return;
        };
        self.run
            .take_if(|run| run.group_incarnation != engine.group_incarnation);
    }

    fn end_run(&mut self) {
        let outcome = self.run.as_ref().and_then(|run| run.coordinator.outcome());
        let Some(outcome) = outcome else {
            return;
        };
        match outcome {
            MapOutcome::Committed { .. } => self.committed_plans += 1,
            MapOutcome::Aborted { map_id } => {
                self.aborted_plans += 1;
                event!(MapAborted, "group={} map={map_id:#x}", self.group);
            }
            MapOutcome::Superseded { .. } | MapOutcome::Settled => {}
        }
        if let Some(ended) = self.run.take().and_then(|run| run.ended) {
            let _ = ended.send(outcome);
        }
    }

    fn act(&mut self, actions: Vec<MapAction>, now_ms: u64) {
        for action in actions {
            match action {
                MapAction::Reply { call, reply } => {
                    if let Some(asker) = self.replies.remove(&call) {
                        let _ = asker.send(reply);
                    }
                }
                MapAction::Order(order) => self.order(order, now_ms),
                MapAction::AskPeers => self.ask_peers(),
                MapAction::Recover => self.recover(now_ms),
            }
        }
    }

    fn order(&mut self, order: MapOrder, now_ms: u64) {
        // There is room, since one order is in flight at a time, unless the task has ended.
        self.is_order_in_flight = self.outlets.orders.try_send(order).is_ok();
        if !self.is_order_in_flight {
            let actions = self.participant.on_engine_lost();
            self.act(actions, now_ms);
        }
    }

    fn ask_peers(&self) {
        let group_incarnation = self
            .participant
            .engine()
            .map_or(0, |engine| engine.group_incarnation);
        let request = MapStateRequest {
            group_incarnation,
            ..MapStateRequest::default()
        };
        let own = self.rank as usize;
        for rank in (0..self.heard_ms.len()).filter(|rank| *rank != own) {
            self.send(RankSend {
                rank,
                origin: MapOrigin::Rank,
                request: MapRequest::State(request),
            });
        }
    }

    /// Settles what is undecided, unless a run is at work that will.
    fn recover(&mut self, now_ms: u64) {
        if self.run.is_none() {
            event!(
                MapRecoveryStarted,
                "group={} rank={}",
                self.group,
                self.rank
            );
            self.start_run(None, None, now_ms);
        }
    }

    fn send_of_run(&self, sends: Vec<MapSend>) {
        let Some(run) = &self.run else {
            return;
        };
        for send in sends {
            self.send(RankSend::of_run(run.nonce, send));
        }
    }

    fn send(&self, send: RankSend) {
        if let Err(error) = self.outlets.sends.try_send(send) {
            log::debug!("message to a rank of group \"{}\": {error}", self.group);
        }
    }

    fn note_wait(&mut self, now_ms: u64) {
        let engine = self.participant.engine();
        let is_waiting = engine.is_none_or(|engine| engine.undecided().is_some());
        if !is_waiting {
            self.waits_since_ms = None;
            self.is_wait_told = false;
            return;
        }
        let since_ms = *self.waits_since_ms.get_or_insert(now_ms);
        let is_held = engine.is_some_and(|engine| engine.held);
        let is_long = now_ms.saturating_sub(since_ms) >= HELD_EVENT_AFTER_MS;
        if is_held && is_long && !self.is_wait_told {
            self.is_wait_told = true;
            event!(
                RankHeld,
                "group={} rank={} waits for {}",
                self.group,
                self.rank,
                self.wait_cause(now_ms)
            );
        }
    }

    /// Describes what the rank waits for; empty when it does not wait.
    fn wait_cause(&self, now_ms: u64) -> String {
        let Some(engine) = self.participant.engine() else {
            return "an answer of the engine".to_owned();
        };
        let Some(staged) = engine.undecided() else {
            return String::new();
        };
        let decision = format!(
            "the decision on map {:#x} before step {}",
            staged.map_id, staged.switch_step
        );
        let silent = self.silent_ranks(now_ms);
        if silent.is_empty() {
            return decision;
        }
        let silent: Vec<String> = silent.iter().map(usize::to_string).collect();
        format!("{decision}; not heard: rank {}", silent.join(", "))
    }

    /// Returns the other ranks that were asked and have not answered of late.
    fn silent_ranks(&self, now_ms: u64) -> Vec<usize> {
        let is_asking = self
            .waits_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= SILENT_AFTER_MS);
        let is_silent = |rank: &usize| {
            let heard_ms = self.heard_ms[*rank];
            heard_ms.is_none_or(|heard_ms| now_ms.saturating_sub(heard_ms) >= SILENT_AFTER_MS)
        };
        let own = self.rank as usize;
        let others = (0..self.heard_ms.len()).filter(|rank| *rank != own);
        others.filter(|rank| is_asking && is_silent(rank)).collect()
    }

    fn status(&self, now_ms: u64) -> RankStatus {
        RankStatus {
            group: self.group.clone(),
            rank: self.rank,
            engine_known: self.participant.engine().is_some(),
            map: Some(self.participant.state()),
            waits_for: self.wait_cause(now_ms),
            committed_plans: self.committed_plans,
            aborted_plans: self.aborted_plans,
        }
    }
}
