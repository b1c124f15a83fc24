//! What one run of a rank's agent knows in the agreement on expert maps.

use crate::Incarnation;
use crate::MapAction;
use crate::MapEngineReport;
use crate::MapReply;
use crate::protos::control::DecideMapReply;
use crate::protos::control::MapRefusal;
use crate::protos::control::MapStateReply;
use crate::protos::control::PrepareMapReply;

/// The memory of one run of an agent; all that outlives the run is its engine's state.
#[derive(Debug)]
pub(crate) struct ParticipantState {
    agent_incarnation: Incarnation,
    pub(crate) highest_ballot: u64,
    pub(crate) engine: Option<MapEngineReport>,
    /// The staged map that this run read back at its start or ordered itself.
    pub(crate) known_staged_map_id: u64,
    pub(crate) committed_map_id: u64,
    pub(crate) aborted_map_id: u64,
    /// Highest switch step that was ordered in this formation of the group.
    pub(crate) highest_switch_step: u64,
    pub(crate) undecided_since_ms: Option<u64>,
    held_since_ms: Option<u64>,
    pub(crate) now_ms: u64,
}

impl ParticipantState {
    pub(crate) fn new(agent_incarnation: Incarnation) -> Self {
        Self {
            agent_incarnation,
            highest_ballot: 0,
            engine: None,
            known_staged_map_id: 0,
            committed_map_id: 0,
            aborted_map_id: 0,
            highest_switch_step: 0,
            undecided_since_ms: None,
            held_since_ms: None,
            now_ms: 0,
        }
    }

    pub(crate) fn check_address(&self, group: u64, agent: u64) -> MapRefusal {
        let Some(engine) = self.engine else {
            return MapRefusal::NotReady;
        };
        if engine.group_incarnation != group {
            return MapRefusal::OtherGroup;
        }
        if self.agent_incarnation.0 != agent {
            return MapRefusal::OtherIncarnation;
        }
        MapRefusal::Unspecified
    }

    pub(crate) fn read_back(&mut self, report: MapEngineReport) {
        self.known_staged_map_id = report.staged.map_or(0, |staged| staged.map_id);
        self.highest_ballot = self
            .highest_ballot
            .max(report.active_map_id)
            .max(self.known_staged_map_id);
    }

    pub(crate) fn note_waits(&mut self, report: MapEngineReport) {
        self.undecided_since_ms = report
            .undecided()
            .map(|_| self.undecided_since_ms.unwrap_or(self.now_ms));
        self.held_since_ms = report
            .is_held
            .then(|| self.held_since_ms.unwrap_or(self.now_ms));
    }

    pub(crate) fn undecided_map_id(&self) -> u64 {
        self.engine
            .and_then(|engine| engine.undecided())
            .map_or(0, |staged| staged.map_id)
    }

    pub(crate) fn has_committed(&self, map_id: u64) -> bool {
        let in_engine = self
            .engine
            .is_some_and(|engine| engine.has_committed(map_id));
        in_engine || self.committed_map_id == map_id
    }

    pub(crate) fn prepare_reply(&self, call_id: u64, reason: MapRefusal) -> MapAction {
        let promised = reason == MapRefusal::Unspecified;
        let refusal = if promised { "" } else { reason.as_str_name() };
        MapAction::Reply {
            call_id,
            reply: MapReply::Prepare(PrepareMapReply {
                promised,
                highest_ballot: self.highest_ballot,
                current_step: self.engine.map_or(0, |engine| engine.step),
                refusal: refusal.to_owned(),
                reason: reason.into(),
            }),
        }
    }

    pub(crate) fn decide_reply(&self, call_id: u64, reason: MapRefusal) -> MapAction {
        MapAction::Reply {
            call_id,
            reply: MapReply::Decide(DecideMapReply {
                accepted: reason == MapRefusal::Unspecified,
                highest_ballot: self.highest_ballot,
                reason: reason.into(),
            }),
        }
    }

    pub(crate) fn state_reply(&self, reason: MapRefusal) -> MapStateReply {
        let staged = self.engine.and_then(|engine| engine.staged);
        let committed = staged.filter(|staged| staged.committed);
        let held_ms = self
            .held_since_ms
            .map_or(0, |since_ms| self.now_ms.saturating_sub(since_ms));
        MapStateReply {
            highest_ballot: self.highest_ballot,
            current_step: self.engine.map_or(0, |engine| engine.step),
            active_map_id: self.engine.map_or(0, |engine| engine.active_map_id),
            prepared_map_id: self.undecided_map_id(),
            switch_step: staged.map_or(0, |staged| staged.switch_step),
            committed_map_id: committed.map_or(self.committed_map_id, |staged| staged.map_id),
            aborted_map_id: self.aborted_map_id,
            agent_incarnation: self.agent_incarnation.0,
            group_incarnation: self.engine.map_or(0, |engine| engine.group_incarnation),
            reason: reason.into(),
            held_ms,
            highest_switch_step: self.highest_switch_step,
        }
    }
}
