//! Actor of a rank's agent: drives the rank's map participant and its coordinator.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::Clock;
use crate::CoordinatorRequest;
use crate::Incarnation;
use crate::MapAction;
use crate::MapCoordinator;
use crate::MapEngineReport;
use crate::MapOrder;
use crate::MapOutcome;
use crate::MapParticipant;
use crate::MapReply;
use crate::MapRequest;
use crate::actor::Actor;
use crate::actor::ActorInput;
use crate::event;
use crate::protos::control::MapStateRequest;
use crate::protos::control::RankStatus;
use crate::protos::settings::RankGroupSettings;
use crate::rank_command::MapOrigin;
use crate::rank_command::MapProposal;
use crate::rank_command::OutboundRequest;
use crate::rank_command::RankCommand;

const RING_CAPACITY: usize = 1024;
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of reads of the engine's state while no map is staged.
const IDLE_POLL_INTERVAL_MS: u64 = 100;
/// Interval of reads of the engine's state while a map is staged.
const STAGED_POLL_INTERVAL_MS: u64 = 40;
/// Time for which a rank is held at a switch step before an event is logged.
const HELD_EVENT_AFTER_MS: u64 = 1_000;
/// Time without a reply after which a rank is reported as unresponsive.
const UNRESPONSIVE_AFTER_MS: u64 = 1_000;

/// Time for which an agent that is about to end refuses the prepares of coordinators that have read its
/// state before.
const REFUSE_PREPARES_MS: u64 = 300;

/// Limit of requests that are queued while an order is in flight; further ones are refused as
/// busy.
const MAX_QUEUED_REQUESTS: usize = 64;

/// Channels from the actor to the tasks that perform its I/O. Orders and requests that do not fit
/// into a full channel are dropped; the protocol sends them again later.
pub(crate) struct RankOutputs {
    pub(crate) orders: mpsc::Sender<MapOrder>,
    pub(crate) requests: mpsc::Sender<OutboundRequest>,
    /// The highest ballot that the rank has seen.
    pub(crate) highest_ballot: watch::Sender<u64>,
}

/// State of the rank actor.
pub(crate) struct RankActor {
    clock: Clock,
    group: String,
    rank: u32,
    lead_steps: u64,
    participant: MapParticipant,
    outputs: RankOutputs,
    /// Where the participant's replies go, by call id.
    reply_senders: HashMap<u64, oneshot::Sender<MapReply>>,
    /// Whether an order to the engine has not been answered yet.
    is_order_in_flight: bool,
    /// Requests that arrived while an order was in flight and would have been refused as busy.
    queued_requests: VecDeque<(MapRequest, oneshot::Sender<MapReply>)>,
    next_call_id: u64,
    next_poll_ms: u64,
    coordinator: Option<ActiveCoordinator>,
    /// When each rank last replied.
    last_reply_ms: Vec<Option<u64>>,
    /// Since when the engine has been unreachable or a map undecided.
    waiting_since_ms: Option<u64>,
    /// Receives a message once the rank waits for nothing from this agent, which is about to end.
    settled_sender: Option<oneshot::Sender<()>>,
    /// Whether the agent is about to end.
    is_closing: bool,
    /// Since when the rank has been waiting for nothing from the agent that is about to end.
    settled_since_ms: Option<u64>,
    /// Whether the event for the current wait at a switch step was logged.
    is_wait_logged: bool,
    committed_plans: u64,
    aborted_plans: u64,
}

/// The coordinator that this actor currently drives.
struct ActiveCoordinator {
    nonce: u32,
    group_incarnation: u64,
    coordinator: MapCoordinator,
    /// Receives the outcome of a proposal; absent for a recovery.
    outcome_sender: Option<oneshot::Sender<MapOutcome>>,
}

impl RankActor {
    /// Creates the actor of a newly started agent. It refuses requests until its engine answers.
    pub(crate) fn new(
        clock: Clock,
        incarnation: Incarnation,
        settings: &RankGroupSettings,
        outputs: RankOutputs,
    ) -> Self {
        Self {
            clock,
            group: settings.group.clone(),
            rank: settings.rank,
            lead_steps: settings.lead_steps,
            participant: MapParticipant::new(incarnation, u64::from(settings.rank)),
            outputs,
            reply_senders: HashMap::new(),
            is_order_in_flight: false,
            queued_requests: VecDeque::new(),
            next_call_id: 0,
            next_poll_ms: 0,
            coordinator: None,
            last_reply_ms: vec![None; settings.agent_addresses.len()],
            waiting_since_ms: None,
            settled_sender: None,
            is_closing: false,
            settled_since_ms: None,
            is_wait_logged: false,
            committed_plans: 0,
            aborted_plans: 0,
        }
    }

    /// Starts the actor's thread and returns its handle.
    pub(crate) fn spawn(mut self) -> Actor<RankCommand> {
        Actor::spawn("rank", RING_CAPACITY, TICK_INTERVAL, move |wake| {
            let now_ms = self.clock.now_ms();
            if let ActorInput::Command(command) = wake {
                self.handle(command, now_ms);
            }
            self.advance(now_ms);
        })
    }

    fn handle(&mut self, command: RankCommand, now_ms: u64) {
        match command {
            RankCommand::Request { request, reply } => self.handle_request(request, reply, now_ms),
            RankCommand::EngineReport(report) => {
                self.is_order_in_flight = false;
                self.handle_engine_report(report, now_ms);
                self.handle_queued_requests(now_ms);
            }
            RankCommand::EngineLost => {
                self.is_order_in_flight = false;
                self.handle_engine_lost(now_ms);
                self.handle_queued_requests(now_ms);
            }
            RankCommand::PeerReply {
                rank,
                origin,
                reply,
            } => self.handle_reply(rank, origin, &reply, now_ms),
            RankCommand::Propose {
                proposal,
                outcome_sender,
            } => self.propose(proposal, outcome_sender, now_ms),
            RankCommand::Close { settled } => {
                self.is_closing = true;
                self.participant.close();
                self.settled_sender = Some(settled);
            }
            RankCommand::Status { reply } => {
                let _ = reply.send(self.status(now_ms));
            }
        }
    }

    /// Performs the periodic work: polls the engine and handles the coordinator's timeouts.
    fn advance(&mut self, now_ms: u64) {
        if now_ms >= self.next_poll_ms {
            self.next_poll_ms = now_ms + self.poll_interval_ms();
            let actions = self.participant.tick(now_ms);
            self.execute(actions, now_ms);
            self.update_wait_state(now_ms);
        }
        self.drop_stale_coordinator();
        self.publish_ballot();
        if let Some(active) = &mut self.coordinator {
            let requests = active.coordinator.tick(now_ms);
            self.send_coordinator_requests(requests);
            self.finish_coordinator();
        }
        if self.is_closing {
            self.report_settled(now_ms);
        }
    }

    /// Reports that the agent may end, once the rank waits for nothing from it.
    fn report_settled(&mut self, now_ms: u64) {
        self.coordinator
            .take_if(|active| active.coordinator.is_reading());
        let is_settled = self.participant.is_settled()
            && self.coordinator.is_none()
            && self.queued_requests.is_empty();
        if !is_settled {
            self.settled_since_ms = None;
            return;
        }
        let since_ms = *self.settled_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= REFUSE_PREPARES_MS
            && let Some(settled) = self.settled_sender.take()
        {
            let _ = settled.send(());
        }
    }

    fn publish_ballot(&self) {
        let ballot = self.participant.highest_ballot();
        self.outputs.highest_ballot.send_if_modified(|published| {
            let is_changed = *published != ballot;
            *published = ballot;
            is_changed
        });
    }

    fn poll_interval_ms(&self) -> u64 {
        let engine = self.participant.engine_report();
        let has_staged_map = engine.is_some_and(|engine| engine.staged.is_some());
        if has_staged_map {
            STAGED_POLL_INTERVAL_MS
        } else {
            IDLE_POLL_INTERVAL_MS
        }
    }

    /// Handles a request, or queues it until the order in flight is answered.
    fn handle_request(
        &mut self,
        request: MapRequest,
        reply: oneshot::Sender<MapReply>,
        now_ms: u64,
    ) {
        let is_unballoted_read =
            matches!(&request, MapRequest::State(request) if request.ballot == 0);
        if self.is_order_in_flight
            && !is_unballoted_read
            && self.queued_requests.len() < MAX_QUEUED_REQUESTS
        {
            self.queued_requests.push_back((request, reply));
            return;
        }
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        self.reply_senders.insert(call_id, reply);
        let actions = self.participant.on_request(call_id, &request);
        self.execute(actions, now_ms);
    }

    fn handle_queued_requests(&mut self, now_ms: u64) {
        while !self.is_order_in_flight
            && let Some((request, reply)) = self.queued_requests.pop_front()
        {
            self.handle_request(request, reply, now_ms);
        }
    }

    fn handle_engine_lost(&mut self, now_ms: u64) {
        if self.participant.engine_report().is_some() {
            event!(RankEngineLost, "group={} rank={}", self.group, self.rank);
        }
        let actions = self.participant.on_engine_lost();
        self.execute(actions, now_ms);
    }

    fn handle_engine_report(&mut self, report: MapEngineReport, now_ms: u64) {
        let previous = self.participant.engine_report();
        let actions = self.participant.on_engine_report(report, now_ms);
        let previous_group_incarnation = previous.map(|previous| previous.group_incarnation);
        if previous_group_incarnation != Some(report.group_incarnation) {
            event!(
                RankGroupFormed,
                "group={} rank={} group_incarnation={} active_map={:#x}",
                self.group,
                self.rank,
                report.group_incarnation,
                report.active_map_id
            );
        } else if previous.is_some_and(|previous| previous.active_map_id != report.active_map_id) {
            event!(
                MapInUse,
                "group={} rank={} active_map={:#x} step={}",
                self.group,
                self.rank,
                report.active_map_id,
                report.step
            );
        }
        self.execute(actions, now_ms);
    }

    fn handle_reply(&mut self, rank: usize, origin: MapOrigin, reply: &MapReply, now_ms: u64) {
        if let Some(last_reply_ms) = self.last_reply_ms.get_mut(rank) {
            *last_reply_ms = Some(now_ms);
        }
        if let Some(state) = OutboundRequest::peer_state(origin, reply) {
            let actions = self.participant.on_peer_state(&state);
            self.execute(actions, now_ms);
        }
        let MapOrigin::Coordinator { nonce, call_id } = origin else {
            return;
        };
        if let Some(active) = &mut self.coordinator
            && active.nonce == nonce
        {
            let requests = active.coordinator.on_reply(call_id, rank, reply, now_ms);
            self.send_coordinator_requests(requests);
            self.finish_coordinator();
        }
    }

    fn propose(
        &mut self,
        proposal: MapProposal,
        outcome_sender: oneshot::Sender<MapOutcome>,
        now_ms: u64,
    ) {
        // Dropping the sender informs the proposer that no coordinator was started.
        if self.coordinator.is_none() && !self.is_closing {
            self.start_coordinator(Some(proposal), Some(outcome_sender), now_ms);
        }
    }

    fn start_coordinator(
        &mut self,
        proposal: Option<MapProposal>,
        outcome_sender: Option<oneshot::Sender<MapOutcome>>,
        now_ms: u64,
    ) {
        let Some(engine) = self.participant.engine_report() else {
            return;
        };
        let nonce = rand::random();
        let mut coordinator = MapCoordinator::builder()
            .group_incarnation(engine.group_incarnation)
            .rank_count(self.last_reply_ms.len())
            .nonce(nonce)
            .lead_steps(self.lead_steps)
            .min_step(proposal.as_ref().map_or(0, |proposal| proposal.min_step))
            .maybe_map_id(proposal.as_ref().and_then(|proposal| proposal.map_id))
            .maybe_proposal(proposal.map(|proposal| proposal.replicas))
            .build();
        let requests = coordinator.start(now_ms);
        self.coordinator = Some(ActiveCoordinator {
            nonce,
            group_incarnation: engine.group_incarnation,
            coordinator,
            outcome_sender,
        });
        self.send_coordinator_requests(requests);
    }

    /// Abandons a coordinator whose requests are addressed to an earlier incarnation of the group.
    fn drop_stale_coordinator(&mut self) {
        let Some(engine) = self.participant.engine_report() else {
            return;
        };
        self.coordinator
            .take_if(|active| active.group_incarnation != engine.group_incarnation);
    }

    /// Counts and reports the outcome of the coordinator and drops it, once it has finished.
    fn finish_coordinator(&mut self) {
        let outcome = self
            .coordinator
            .as_ref()
            .and_then(|active| active.coordinator.outcome());
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
        if let Some(outcome_sender) = self
            .coordinator
            .take()
            .and_then(|active| active.outcome_sender)
        {
            let _ = outcome_sender.send(outcome);
        }
    }

    fn execute(&mut self, actions: Vec<MapAction>, now_ms: u64) {
        for action in actions {
            match action {
                MapAction::Reply { call_id, reply } => {
                    if let Some(reply_sender) = self.reply_senders.remove(&call_id) {
                        let _ = reply_sender.send(reply);
                    }
                }
                MapAction::Order(order) => self.send_order(order, now_ms),
                MapAction::AskPeers => self.ask_peers(),
                MapAction::Recover => self.recover(now_ms),
            }
        }
    }

    fn send_order(&mut self, order: MapOrder, now_ms: u64) {
        // The channel has capacity, since only one order is in flight at a time. Sending fails
        // only if the task that receives the orders has ended.
        self.is_order_in_flight = self.outputs.orders.try_send(order).is_ok();
        if !self.is_order_in_flight {
            let actions = self.participant.on_engine_lost();
            self.execute(actions, now_ms);
        }
    }

    fn ask_peers(&self) {
        let group_incarnation = self
            .participant
            .engine_report()
            .map_or(0, |engine| engine.group_incarnation);
        let request = MapStateRequest {
            group_incarnation,
            ..MapStateRequest::default()
        };
        let own_rank = self.rank as usize;
        for rank in (0..self.last_reply_ms.len()).filter(|rank| *rank != own_rank) {
            self.send_request(OutboundRequest {
                rank,
                origin: MapOrigin::Participant,
                request: MapRequest::State(request),
            });
        }
    }

    /// Starts a coordinator that decides the undecided map, unless one is running, which does so
    /// as well.
    fn recover(&mut self, now_ms: u64) {
        if self.coordinator.is_none() {
            event!(
                MapRecoveryStarted,
                "group={} rank={}",
                self.group,
                self.rank
            );
            self.start_coordinator(None, None, now_ms);
        }
    }

    fn send_coordinator_requests(&self, requests: Vec<CoordinatorRequest>) {
        let Some(active) = &self.coordinator else {
            return;
        };
        for request in requests {
            self.send_request(OutboundRequest::from_coordinator(active.nonce, request));
        }
    }

    fn send_request(&self, request: OutboundRequest) {
        if let Err(error) = self.outputs.requests.try_send(request) {
            log::debug!("request to a rank of group \"{}\": {error}", self.group);
        }
    }

    /// Records since when the rank has been waiting, and logs an event if it is held for too long.
    fn update_wait_state(&mut self, now_ms: u64) {
        let engine = self.participant.engine_report();
        let is_waiting = engine.is_none_or(|engine| engine.undecided().is_some());
        if !is_waiting {
            self.waiting_since_ms = None;
            self.is_wait_logged = false;
            return;
        }
        let since_ms = *self.waiting_since_ms.get_or_insert(now_ms);
        let is_held = engine.is_some_and(|engine| engine.is_held);
        let is_long = now_ms.saturating_sub(since_ms) >= HELD_EVENT_AFTER_MS;
        if is_held && is_long && !self.is_wait_logged {
            self.is_wait_logged = true;
            event!(
                RankHeld,
                "group={} rank={} waits for {}",
                self.group,
                self.rank,
                self.wait_cause(now_ms)
            );
        }
    }

    /// Describes what the rank waits for; empty if it does not wait.
    fn wait_cause(&self, now_ms: u64) -> String {
        let Some(engine) = self.participant.engine_report() else {
            return "an answer of the engine".to_owned();
        };
        let Some(staged) = engine.undecided() else {
            return String::new();
        };
        let decision = format!(
            "the decision on map {:#x} before step {}",
            staged.map_id, staged.switch_step
        );
        let unresponsive = self.unresponsive_ranks(now_ms);
        if unresponsive.is_empty() {
            return decision;
        }
        let unresponsive: Vec<String> = unresponsive.iter().map(usize::to_string).collect();
        format!("{decision}; not heard: rank {}", unresponsive.join(", "))
    }

    /// Returns the other ranks that have not replied recently, although the rank has been sending
    /// them requests.
    fn unresponsive_ranks(&self, now_ms: u64) -> Vec<usize> {
        let is_requesting = self
            .waiting_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= UNRESPONSIVE_AFTER_MS);
        let is_unresponsive = |rank: &usize| {
            let last_reply_ms = self.last_reply_ms[*rank];
            last_reply_ms.is_none_or(|last_reply_ms| {
                now_ms.saturating_sub(last_reply_ms) >= UNRESPONSIVE_AFTER_MS
            })
        };
        let own_rank = self.rank as usize;
        let other_ranks = (0..self.last_reply_ms.len()).filter(|rank| *rank != own_rank);
        other_ranks
            .filter(|rank| is_requesting && is_unresponsive(rank))
            .collect()
    }

    fn status(&self, now_ms: u64) -> RankStatus {
        RankStatus {
            group: self.group.clone(),
            rank: self.rank,
            engine_known: self.participant.engine_report().is_some(),
            map: Some(self.participant.state()),
            waits_for: self.wait_cause(now_ms),
            committed_plans: self.committed_plans,
            aborted_plans: self.aborted_plans,
        }
    }
}
