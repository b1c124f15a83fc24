//! A rank's part in the agreement on expert maps.
//!
//! The argument for the rules is in `docs/design/expert_maps.md`.

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
const RECOVER_STAGGER_MS: u64 = 20;

/// Decides what the agent of one rank promises and orders its engine to do.
///
/// A new participant stands for a new run of the agent: it knows nothing until its engine has
/// reported, and takes no order before.
#[derive(Debug)]
pub struct MapParticipant {
    rank: u64,
    memory: ParticipantState,
    pending: Option<PendingOrder>,
}

#[derive(Debug)]
enum PendingOrder {
    Read,
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
        map_id: u64,
        is_decision: bool,
    },
}

impl MapParticipant {
    /// Creates the participant of `rank` for a new run of its agent.
    #[must_use]
    pub fn new(agent_incarnation: Incarnation, rank: u64) -> Self {
        Self {
            rank,
            memory: ParticipantState::new(agent_incarnation),
            pending: None,
        }
    }

    /// Handles a request; `call` comes back with the reply, at once or after an engine report.
    pub fn on_request(&mut self, call_id: u64, request: &MapRequest) -> Vec<MapAction> {
        match request {
            MapRequest::Prepare(request) => self.prepare(call_id, request),
            MapRequest::Decide(request) => self.decide(call_id, request),
            MapRequest::State(request) => vec![self.answer_state(call_id, *request)],
        }
    }

    /// Handles the engine's answer to the order in flight.
    pub fn on_engine_report(&mut self, report: MapEngineReport, now_ms: u64) -> Vec<MapAction> {
        self.memory.now_ms = now_ms;
        let is_new_group = self
            .memory
            .engine
            .is_none_or(|engine| engine.group_incarnation != report.group_incarnation);
        let pending = self.pending.take();
        self.memory.engine = Some(report);
        if is_new_group {
            self.memory.highest_switch_step = 0;
            self.memory.read_back(report);
        }
        let mut actions = match pending {
            None | Some(PendingOrder::Read) => Vec::new(),
            Some(PendingOrder::Stage { call_id, request }) => {
                self.staged(call_id, &request, report)
            }
            Some(PendingOrder::Commit { call_id, map_id }) => self
                .committed(call_id, map_id, report)
                .into_iter()
                .collect(),
            Some(PendingOrder::Release {
                call_id,
                map_id,
                is_decision,
            }) => {
                if is_decision {
                    self.memory.aborted_map_id = map_id;
                }
                let reply = call_id
                    .map(|call_id| self.memory.decide_reply(call_id, MapRefusal::Unspecified));
                reply.into_iter().collect()
            }
        };
        self.memory.note_waits(report);
        actions.extend(self.drop_unpromised(report));
        actions
    }

    /// Handles the loss of the connection to the engine; the order in flight may have taken effect.
    pub fn on_engine_lost(&mut self) -> Vec<MapAction> {
        self.memory.engine = None;
        let call_id = match self.pending.take() {
            Some(PendingOrder::Stage { call_id, .. }) => {
                Some(self.memory.prepare_reply(call_id, MapRefusal::Busy))
            }
            Some(PendingOrder::Commit { call_id, .. } | PendingOrder::Release { call_id, .. }) => {
                call_id.map(|call_id| self.memory.decide_reply(call_id, MapRefusal::Busy))
            }
            Some(PendingOrder::Read) | None => None,
        };
        call_id.into_iter().collect()
    }

    /// Learns a decision from another rank's unballoted state.
    pub fn on_peer_state(&mut self, peer: &MapStateReply) -> Vec<MapAction> {
        let Some(engine) = self.memory.engine else {
            return Vec::new();
        };
        let Some(staged) = engine.undecided() else {
            return Vec::new();
        };
        let is_same_group = peer.group_incarnation == engine.group_incarnation;
        if self.pending.is_some() || !is_same_group {
            return Vec::new();
        }
        let map_id = staged.map_id;
        if peer.committed_map_id == map_id || peer.active_map_id == map_id {
            return vec![self.order_commit(None, map_id)];
        }
        if peer.aborted_map_id == map_id {
            return vec![self.order_release(None, map_id, true)];
        }
        Vec::new()
    }

    /// Polls the engine and pushes on an undecided map; call it at a steady interval.
    pub fn tick(&mut self, now_ms: u64) -> Vec<MapAction> {
        self.memory.now_ms = now_ms;
        let mut actions = Vec::new();
        if self.pending.is_none() {
            self.pending = Some(PendingOrder::Read);
            actions.push(MapAction::Order(MapOrder::Read));
        }
        let Some(since_ms) = self.memory.undecided_since_ms else {
            return actions;
        };
        let waited_ms = now_ms.saturating_sub(since_ms);
        if waited_ms >= ASK_PEERS_AFTER_MS {
            actions.push(MapAction::AskPeers);
        }
        if waited_ms >= RECOVER_AFTER_MS + self.rank * RECOVER_STAGGER_MS {
            self.memory.undecided_since_ms = Some(now_ms);
            actions.push(MapAction::Recover);
        }
        actions
    }

    /// Returns the engine's last report, if this run of the agent has one.
    #[must_use]
    pub fn engine_report(&self) -> Option<MapEngineReport> {
        self.memory.engine
    }

    /// Returns the highest ballot that the rank has seen; it outlives formations of the group.
    #[must_use]
    pub fn highest_ballot(&self) -> u64 {
        self.memory.highest_ballot
    }

    /// Returns what the rank answers to a question without a ballot.
    #[must_use]
    pub fn state(&self) -> MapStateReply {
        let is_known = self.memory.engine.is_some();
        self.memory.state_reply(if is_known {
            MapRefusal::Unspecified
        } else {
            MapRefusal::NotReady
        })
    }

    fn prepare(&mut self, call_id: u64, request: &PrepareMapRequest) -> Vec<MapAction> {
        let refusal = self.check_prepare(request);
        if refusal != MapRefusal::Unspecified {
            return vec![self.memory.prepare_reply(call_id, refusal)];
        }
        let Some(map) = request.map.clone() else {
            return vec![self.memory.prepare_reply(call_id, MapRefusal::Invalid)];
        };
        if self.memory.undecided_map_id() == map.map_id {
            return vec![self.memory.prepare_reply(call_id, MapRefusal::Unspecified)];
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
            .memory
            .check_address(request.group_incarnation, request.agent_incarnation);
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
        if request.ballot < self.memory.highest_ballot {
            return MapRefusal::LowerBallot;
        }
        if self.memory.undecided_map_id() == map_id {
            return MapRefusal::Unspecified;
        }
        if request.ballot == self.memory.highest_ballot {
            // The map was refused before, and the refusal is final.
            return MapRefusal::LowerBallot;
        }
        self.memory.highest_ballot = request.ballot;
        let Some(engine) = self.memory.engine else {
            return MapRefusal::NotReady;
        };
        if engine.staged.is_some() {
            return MapRefusal::MapPending;
        }
        if engine.step >= request.switch_step {
            return MapRefusal::StepPassed;
        }
        // An order of an earlier proposal may still be under way for its switch step, so that no
        // later one uses it again.
        if self.memory.highest_switch_step >= request.switch_step {
            return MapRefusal::StepPassed;
        }
        self.memory.highest_switch_step = request.switch_step;
        MapRefusal::Unspecified
    }

    fn staged(
        &mut self,
        call_id: u64,
        request: &PrepareMapRequest,
        report: MapEngineReport,
    ) -> Vec<MapAction> {
        let map_id = request.ballot;
        let is_staged = report
            .uncommitted()
            .is_some_and(|staged| staged.map_id == map_id);
        if !is_staged {
            return vec![self.memory.prepare_reply(call_id, MapRefusal::NotStaged)];
        }
        self.memory.known_staged_map_id = map_id;
        let refusal = if report.group_incarnation != request.group_incarnation {
            MapRefusal::OtherGroup
        } else if report.step >= request.switch_step {
            MapRefusal::StepPassed
        } else {
            return vec![self.memory.prepare_reply(call_id, MapRefusal::Unspecified)];
        };
        // No promise was given, so that the map can be dropped without asking anyone.
        let release = self.order_release(None, map_id, false);
        vec![release, self.memory.prepare_reply(call_id, refusal)]
    }

    fn decide(&mut self, call_id: u64, request: &DecideMapRequest) -> Vec<MapAction> {
        let refusal = self.check_ballot(
            request.group_incarnation,
            request.agent_incarnation,
            request.ballot,
        );
        if refusal != MapRefusal::Unspecified {
            return vec![self.memory.decide_reply(call_id, refusal)];
        }
        if request.map_id == 0 {
            return vec![self.memory.decide_reply(call_id, MapRefusal::Invalid)];
        }
        if self.pending.is_some() {
            return vec![self.memory.decide_reply(call_id, MapRefusal::Busy)];
        }
        let map_id = request.map_id;
        if self.memory.undecided_map_id() == map_id {
            let order = if request.commit {
                self.order_commit(Some(call_id), map_id)
            } else {
                self.order_release(Some(call_id), map_id, true)
            };
            return vec![order];
        }
        let has_committed = self.memory.has_committed(map_id);
        let refusal = match (request.commit, has_committed) {
            (true, true) => MapRefusal::Unspecified,
            (true, false) => MapRefusal::NotStaged,
            (false, true) => MapRefusal::Contradicts,
            (false, false) => {
                self.memory.aborted_map_id = map_id;
                MapRefusal::Unspecified
            }
        };
        vec![self.memory.decide_reply(call_id, refusal)]
    }

    fn committed(
        &mut self,
        call_id: Option<u64>,
        map_id: u64,
        report: MapEngineReport,
    ) -> Option<MapAction> {
        let refusal = if report.has_committed(map_id) {
            self.memory.committed_map_id = map_id;
            MapRefusal::Unspecified
        } else {
            MapRefusal::NotStaged
        };
        call_id.map(|call_id| self.memory.decide_reply(call_id, refusal))
    }

    fn answer_state(&mut self, call_id: u64, request: MapStateRequest) -> MapAction {
        let state = if request.ballot > 0 {
            let refusal = self.check_ballot(
                request.group_incarnation,
                request.agent_incarnation,
                request.ballot,
            );
            self.memory.state_reply(refusal)
        } else {
            self.state()
        };
        MapAction::Reply {
            call_id,
            reply: MapReply::State(state),
        }
    }

    /// Checks a message that carries a ballot, and takes note of the ballot.
    fn check_ballot(&mut self, group: u64, agent: u64, ballot: u64) -> MapRefusal {
        let refusal = self.memory.check_address(group, agent);
        if refusal != MapRefusal::Unspecified {
            return refusal;
        }
        let is_read = matches!(self.pending, None | Some(PendingOrder::Read));
        if !is_read {
            return MapRefusal::Busy;
        }
        if ballot < self.memory.highest_ballot {
            return MapRefusal::LowerBallot;
        }
        self.memory.highest_ballot = ballot;
        MapRefusal::Unspecified
    }

    /// Releases a staged map that cannot have been promised: one that an earlier run of the agent
    /// ordered and that came late, or one that was staged after its switch step had begun.
    fn drop_unpromised(&mut self, report: MapEngineReport) -> Option<MapAction> {
        let staged = report.uncommitted()?;
        let is_known = staged.map_id == self.memory.known_staged_map_id;
        if self.pending.is_some() || (is_known && !report.is_overrun()) {
            return None;
        }
        Some(self.order_release(None, staged.map_id, false))
    }

    fn order_commit(&mut self, call_id: Option<u64>, map_id: u64) -> MapAction {
        self.pending = Some(PendingOrder::Commit { call_id, map_id });
        MapAction::Order(MapOrder::Commit { map_id })
    }

    fn order_release(&mut self, call_id: Option<u64>, map_id: u64, is_decision: bool) -> MapAction {
        self.pending = Some(PendingOrder::Release {
            call_id,
            map_id,
            is_decision,
        });
        MapAction::Order(MapOrder::Release { map_id })
    }
}
