//! Participant of the two-phase switch to a new expert map: one rank of the group.
//!
//! `docs/design/expert_maps.md` explains why the protocol is safe.

use crate::Incarnation;
use crate::MapAction;
use crate::MapEngineReport;
use crate::MapOrder;
use crate::MapReply;
use crate::MapRequest;
use crate::participant_state::ParticipantState;
use crate::protos::control::DecideMapRequest;
use crate::protos::control::MapRefusal;
use crate::protos::control::MapStateReply;
use crate::protos::control::MapStateRequest;
use crate::protos::control::PrepareMapRequest;

const ASK_PEERS_AFTER_MS: u64 = 200;
const RECOVER_AFTER_MS: u64 = 500;
/// Additional delay per rank, so that the ranks do not all start a recovery at the same time.
const RECOVER_STAGGER_MS: u64 = 20;

/// Answers map requests for one rank and issues the orders to the rank's engine.
///
/// The participant performs no I/O: its driver executes the returned [`MapAction`]s. Each start of
/// an agent process creates a new participant, which has no state of its own at first. It refuses
/// requests until the engine has reported its state.
#[derive(Debug)]
pub struct MapParticipant {
    rank: u64,
    state: ParticipantState,
    pending: Option<PendingOrder>,
    /// Whether the agent is about to end, so that nobody would keep a new promise.
    is_closing: bool,
}

/// The order in flight. Commits and releases carry the id of the request to reply to, if one
/// caused them.
#[derive(Debug)]
enum PendingOrder {
    Read,
    Confirm,
    Stage {
        call_id: u64,
        request: PrepareMapRequest,
    },
    Commit {
        call_id: Option<u64>,
        map_id: u64,
    },
    Release {
        call_id: Option<u64>,
    },
}

impl MapParticipant {
    /// Creates the participant of `rank` for a newly started agent process.
    #[must_use]
    pub fn new(agent_incarnation: Incarnation, rank: u64) -> Self {
        Self {
            rank,
            state: ParticipantState::new(agent_incarnation),
            pending: None,
            is_closing: false,
        }
    }

    /// Makes no further promise, since the agent is about to end. What it has promised, it keeps.
    pub fn close(&mut self) {
        self.is_closing = true;
    }

    /// Returns whether the rank waits for nothing from this agent: no map is undecided at its engine, and
    /// no order that may stage or decide one is in flight.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let is_idle = matches!(self.pending, None | Some(PendingOrder::Read));
        let engine = self.state.engine_report;
        is_idle && engine.is_some_and(|engine| engine.uncommitted().is_none())
    }

    /// Handles a request. The reply carries `call_id` and follows at once or after an engine
    /// report.
    pub fn on_request(&mut self, call_id: u64, request: &MapRequest) -> Vec<MapAction> {
        match request {
            MapRequest::Prepare(request) => self.handle_prepare(call_id, request),
            MapRequest::Decide(request) => self.handle_decide(call_id, request),
            MapRequest::State(request) => vec![self.handle_state(call_id, *request)],
        }
    }

    /// Handles the engine's report in answer to the order in flight.
    pub fn on_engine_report(&mut self, report: MapEngineReport, now_ms: u64) -> Vec<MapAction> {
        self.state.now_ms = now_ms;
        let is_new_incarnation = self
            .state
            .engine_report
            .is_none_or(|engine| engine.group_incarnation != report.group_incarnation);
        let pending = self.pending.take();
        self.state.engine_report = Some(report);
        if is_new_incarnation {
            self.state.highest_switch_step = 0;
            self.state.restore_from(report);
        }
        self.state.confirm(report);
        let mut actions = match pending {
            None | Some(PendingOrder::Read | PendingOrder::Confirm) => Vec::new(),
            Some(PendingOrder::Stage { call_id, request }) => {
                self.on_stage_report(call_id, &request, report)
            }
            Some(PendingOrder::Commit { call_id, map_id }) => self
                .on_commit_report(call_id, map_id, report)
                .into_iter()
                .collect(),
            Some(PendingOrder::Release { call_id }) => {
                let reply = call_id
                    .map(|call_id| self.state.decide_reply(call_id, MapRefusal::Unspecified));
                reply.into_iter().collect()
            }
        };
        self.state.update_wait_times(report);
        actions.extend(self.release_unpromised(report));
        actions
    }

    /// Handles a failed order. The order in flight may have taken effect, so the engine's state is
    /// unknown until the next report.
    pub fn on_engine_lost(&mut self) -> Vec<MapAction> {
        self.state.engine_report = None;
        let reply = match self.pending.take() {
            Some(PendingOrder::Stage { call_id, .. }) => {
                Some(self.state.prepare_reply(call_id, MapRefusal::Busy))
            }
            Some(PendingOrder::Commit { call_id, .. } | PendingOrder::Release { call_id }) => {
                call_id.map(|call_id| self.state.decide_reply(call_id, MapRefusal::Busy))
            }
            Some(PendingOrder::Read | PendingOrder::Confirm) | None => None,
        };
        reply.into_iter().collect()
    }

    /// Adopts a decision about the undecided map that another rank's state shows.
    pub fn on_peer_state(&mut self, peer: &MapStateReply) -> Vec<MapAction> {
        let Some(engine) = self.state.engine_report else {
            return Vec::new();
        };
        let Some(promise) = self.state.undecided_promise() else {
            return Vec::new();
        };
        let is_same_incarnation = peer.group_incarnation == engine.group_incarnation;
        if self.pending.is_some() || self.state.is_unconfirmed || !is_same_incarnation {
            return Vec::new();
        }
        let map_id = promise.map_id;
        if peer.committed_map_id == map_id || peer.active_map_id == map_id {
            return vec![self.order_commit(None, map_id)];
        }
        if peer.aborted_map_id == map_id {
            return self.order_abort(None, map_id).into_iter().collect();
        }
        Vec::new()
    }

    /// Polls the engine and drives an undecided map to a decision; must be called at a regular
    /// interval.
    pub fn tick(&mut self, now_ms: u64) -> Vec<MapAction> {
        self.state.now_ms = now_ms;
        let mut actions = Vec::new();
        if self.pending.is_none() {
            let order = self.order_confirm().unwrap_or_else(|| self.order_read());
            actions.push(order);
        }
        let Some(since_ms) = self.state.undecided_since_ms else {
            return actions;
        };
        let waited_ms = now_ms.saturating_sub(since_ms);
        if waited_ms >= ASK_PEERS_AFTER_MS {
            actions.push(MapAction::AskPeers);
        }
        if waited_ms >= RECOVER_AFTER_MS + self.rank * RECOVER_STAGGER_MS {
            self.state.undecided_since_ms = Some(now_ms);
            actions.push(MapAction::Recover);
        }
        actions
    }

    /// Returns the engine's last report; `None` until the engine has reported to this process and
    /// after an order has failed.
    #[must_use]
    pub fn engine_report(&self) -> Option<MapEngineReport> {
        self.state.engine_report
    }

    /// Returns the highest ballot that the rank has seen, across incarnations of the group.
    #[must_use]
    pub fn highest_ballot(&self) -> u64 {
        self.state.highest_ballot
    }

    /// Returns the reply to a state request without a ballot.
    #[must_use]
    pub fn state(&self) -> MapStateReply {
        let has_report = self.state.engine_report.is_some() && !self.state.is_unconfirmed;
        // A coordinator that reads the state of an agent which ends would wait for its promise.
        let is_leaving = self.is_closing && self.is_settled();
        self.state.state_reply(if has_report && !is_leaving {
            MapRefusal::Unspecified
        } else {
            MapRefusal::NotReady
        })
    }

    fn handle_prepare(&mut self, call_id: u64, request: &PrepareMapRequest) -> Vec<MapAction> {
        let refusal = self.check_prepare(request);
        if refusal != MapRefusal::Unspecified {
            return vec![self.state.prepare_reply(call_id, refusal)];
        }
        let Some(map) = request.map.clone() else {
            return vec![self.state.prepare_reply(call_id, MapRefusal::Invalid)];
        };
        if self.state.undecided_map_id() == map.map_id {
            return vec![self.state.prepare_reply(call_id, MapRefusal::Unspecified)];
        }
        self.pending = Some(PendingOrder::Stage {
            call_id,
            request: request.clone(),
        });
        vec![MapAction::Order(MapOrder::Stage {
            map,
            switch_step: request.switch_step,
        })]
    }

    fn check_prepare(&mut self, request: &PrepareMapRequest) -> MapRefusal {
        let refusal = self
            .state
            .check_addressee(request.group_incarnation, request.agent_incarnation);
        if refusal != MapRefusal::Unspecified {
            return refusal;
        }
        if self.pending.is_some() {
            return MapRefusal::Busy;
        }
        let map_id = request.map.as_ref().map_or(0, |map| map.map_id);
        if map_id == 0 || map_id != request.ballot {
            return MapRefusal::Invalid;
        }
        if request.ballot < self.state.highest_ballot {
            return MapRefusal::LowerBallot;
        }
        if self.state.undecided_map_id() == map_id {
            return MapRefusal::Unspecified;
        }
        if request.ballot == self.state.highest_ballot {
            // The rank has refused or aborted this map before, and that is final.
            return MapRefusal::LowerBallot;
        }
        self.state.highest_ballot = request.ballot;
        if self.is_closing {
            return MapRefusal::NotStaged;
        }
        let Some(engine) = self.state.engine_report else {
            return MapRefusal::NotReady;
        };
        if engine.staged.is_some() {
            return MapRefusal::MapPending;
        }
        if engine.step >= request.switch_step {
            return MapRefusal::StepPassed;
        }
        // A delayed order of an earlier proposal may still take effect at its switch step, so a
        // later proposal must not use the same step.
        if self.state.highest_switch_step >= request.switch_step {
            return MapRefusal::StepPassed;
        }
        self.state.highest_switch_step = request.switch_step;
        MapRefusal::Unspecified
    }

    fn on_stage_report(
        &mut self,
        call_id: u64,
        request: &PrepareMapRequest,
        report: MapEngineReport,
    ) -> Vec<MapAction> {
        let map_id = request.ballot;
        // A delayed order may hold another step, which is not what the others promise.
        let staged = report
            .uncommitted()
            .filter(|staged| staged.map_id == map_id && staged.switch_step == request.switch_step);
        let Some(staged) = staged else {
            return vec![self.state.prepare_reply(call_id, MapRefusal::NotStaged)];
        };
        let refusal = if report.group_incarnation != request.group_incarnation {
            MapRefusal::OtherGroup
        } else if report.step >= request.switch_step {
            MapRefusal::StepPassed
        } else {
            self.state.promise(staged);
            return vec![self.state.prepare_reply(call_id, MapRefusal::Unspecified)];
        };
        // The rank has made no promise for this map, so it may release the map on its own.
        let release = self.order_release(None, map_id);
        vec![release, self.state.prepare_reply(call_id, refusal)]
    }

    fn handle_decide(&mut self, call_id: u64, request: &DecideMapRequest) -> Vec<MapAction> {
        let refusal = self.check_ballot(
            request.group_incarnation,
            request.agent_incarnation,
            request.ballot,
        );
        if refusal != MapRefusal::Unspecified {
            return vec![self.state.decide_reply(call_id, refusal)];
        }
        if request.map_id == 0 {
            return vec![self.state.decide_reply(call_id, MapRefusal::Invalid)];
        }
        if self.pending.is_some() {
            return vec![self.state.decide_reply(call_id, MapRefusal::Busy)];
        }
        let map_id = request.map_id;
        if request.commit && self.state.undecided_map_id() == map_id {
            return vec![self.order_commit(Some(call_id), map_id)];
        }
        if !request.commit
            && let Some(order) = self.order_abort(Some(call_id), map_id)
        {
            return vec![order];
        }
        let has_committed = self.state.has_committed(map_id);
        let refusal = match (request.commit, has_committed) {
            (true, true) => MapRefusal::Unspecified,
            (true, false) => MapRefusal::NotStaged,
            (false, true) => MapRefusal::Contradicts,
            (false, false) => {
                self.state.abort(map_id);
                MapRefusal::Unspecified
            }
        };
        vec![self.state.decide_reply(call_id, refusal)]
    }

    fn on_commit_report(
        &mut self,
        call_id: Option<u64>,
        map_id: u64,
        report: MapEngineReport,
    ) -> Option<MapAction> {
        let refusal = if report.has_committed(map_id) {
            self.state.committed_map_id = map_id;
            MapRefusal::Unspecified
        } else {
            MapRefusal::NotStaged
        };
        call_id.map(|call_id| self.state.decide_reply(call_id, refusal))
    }

    fn handle_state(&mut self, call_id: u64, request: MapStateRequest) -> MapAction {
        let state = if request.ballot > 0 {
            let refusal = self.check_ballot(
                request.group_incarnation,
                request.agent_incarnation,
                request.ballot,
            );
            self.state.state_reply(refusal)
        } else {
            self.state()
        };
        MapAction::Reply {
            call_id,
            reply: MapReply::State(state),
        }
    }

    /// Checks a request that carries a ballot, and records the ballot if the request is accepted.
    fn check_ballot(
        &mut self,
        group_incarnation: u64,
        agent_incarnation: u64,
        ballot: u64,
    ) -> MapRefusal {
        let refusal = self
            .state
            .check_addressee(group_incarnation, agent_incarnation);
        if refusal != MapRefusal::Unspecified {
            return refusal;
        }
        let is_idle = matches!(self.pending, None | Some(PendingOrder::Read));
        if !is_idle {
            return MapRefusal::Busy;
        }
        if ballot < self.state.highest_ballot {
            return MapRefusal::LowerBallot;
        }
        self.state.highest_ballot = ballot;
        MapRefusal::Unspecified
    }

    /// Releases a staged map for which the rank has made no promise: the order to stage it took effect
    /// late, or after its switch step had started. A promised step is held whatever map is copied.
    fn release_unpromised(&mut self, report: MapEngineReport) -> Option<MapAction> {
        let staged = report.uncommitted()?;
        let is_promised = self.state.has_promised_step(staged.switch_step);
        if self.pending.is_some() || (is_promised && !report.is_overrun()) {
            return None;
        }
        Some(self.order_release(None, staged.map_id))
    }

    fn order_read(&mut self) -> MapAction {
        self.pending = Some(PendingOrder::Read);
        MapAction::Order(MapOrder::Read)
    }

    /// Confirms a promise that was read back from the engine, before anybody is told of it.
    ///
    /// The process that made it may have dropped it, by an order without an answer. Once the engine has
    /// begun another order, that one is refused.
    fn order_confirm(&mut self) -> Option<MapAction> {
        let promise = self.state.unconfirmed_promise()?;
        self.pending = Some(PendingOrder::Confirm);
        let map_id = promise.map_id;
        Some(MapAction::Order(MapOrder::Confirm { map_id }))
    }

    fn order_commit(&mut self, call_id: Option<u64>, map_id: u64) -> MapAction {
        self.pending = Some(PendingOrder::Commit { call_id, map_id });
        MapAction::Order(MapOrder::Commit { map_id })
    }

    /// Drops a promised map after the decision to abort it; `None` if the rank holds nothing for it.
    ///
    /// The promise ends now and not with the engine's answer: an order without an answer may still
    /// take effect.
    fn order_abort(&mut self, call_id: Option<u64>, map_id: u64) -> Option<MapAction> {
        let staged = self.state.engine_report?.undecided()?;
        let promise = self.state.undecided_promise()?;
        if promise.map_id != map_id {
            return None;
        }
        self.state.abort(map_id);
        Some(self.order_release(call_id, staged.map_id))
    }

    fn order_release(&mut self, call_id: Option<u64>, map_id: u64) -> MapAction {
        self.pending = Some(PendingOrder::Release { call_id });
        MapAction::Order(MapOrder::Release { map_id })
    }
}
