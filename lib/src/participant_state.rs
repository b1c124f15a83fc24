//! In-memory state of a map participant.

use crate::Incarnation;
use crate::MapAction;
use crate::MapEngineReport;
use crate::MapReply;
use crate::StagedMap;
use crate::protos::control::DecideMapReply;
use crate::protos::control::MapRefusal;
use crate::protos::control::MapStateReply;
use crate::protos::control::PrepareMapReply;
use crate::rank_report::PLACEHOLDER_MAP_ID;

/// The promise to start a step only after a map for it is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Promise {
    pub(crate) map_id: u64,
    pub(crate) switch_step: u64,
}

impl Promise {
    fn about(staged: StagedMap) -> Self {
        Self {
            map_id: staged.map_id,
            switch_step: staged.switch_step,
        }
    }
}

/// State of a [`MapParticipant`](crate::MapParticipant). It is lost when the agent process ends;
/// only the engine's state survives.
#[derive(Debug)]
pub(crate) struct ParticipantState {
    agent_incarnation: Incarnation,
    pub(crate) highest_ballot: u64,
    pub(crate) engine_report: Option<MapEngineReport>,
    /// What the rank has promised and is undecided. Anything else that is staged comes from a delayed
    /// order.
    promise: Option<Promise>,
    /// Whether the promise was read back from the engine, and an order of the process that made it may
    /// still be executed.
    pub(crate) is_unconfirmed: bool,
    /// The last map that this process committed; zero for none.
    pub(crate) committed_map_id: u64,
    /// The last map that this process aborted by a decision; zero for none.
    pub(crate) aborted_map_id: u64,
    /// Highest switch step of an accepted prepare in this incarnation of the group.
    pub(crate) highest_switch_step: u64,
    /// When the staged map was first seen undecided, or when recovery was last started for it.
    pub(crate) undecided_since_ms: Option<u64>,
    /// When the engine was first seen blocked at the switch step.
    held_since_ms: Option<u64>,
    /// Time of the last tick or engine report.
    pub(crate) now_ms: u64,
}

impl ParticipantState {
    pub(crate) fn new(agent_incarnation: Incarnation) -> Self {
        Self {
            agent_incarnation,
            highest_ballot: 0,
            engine_report: None,
            promise: None,
            is_unconfirmed: false,
            committed_map_id: 0,
            aborted_map_id: 0,
            highest_switch_step: 0,
            undecided_since_ms: None,
            held_since_ms: None,
            now_ms: 0,
        }
    }

    /// Checks that a request is addressed to this incarnation of the group and of the agent.
    pub(crate) fn check_addressee(
        &self,
        group_incarnation: u64,
        agent_incarnation: u64,
    ) -> MapRefusal {
        let Some(engine) = self.engine_report else {
            return MapRefusal::NotReady;
        };
        if self.is_unconfirmed {
            return MapRefusal::NotReady;
        }
        if engine.group_incarnation != group_incarnation {
            return MapRefusal::OtherGroup;
        }
        if self.agent_incarnation.0 != agent_incarnation {
            return MapRefusal::OtherIncarnation;
        }
        MapRefusal::Unspecified
    }

    /// Restores what the engine has kept for the agent: the staged map, which an earlier process may
    /// have promised, and a lower bound for the highest ballot.
    pub(crate) fn restore_from(&mut self, report: MapEngineReport) {
        // Only a map that was copied was promised.
        let staged = report.uncommitted();
        let promised = staged.filter(|staged| staged.map_id != PLACEHOLDER_MAP_ID);
        self.promise = promised.map(Promise::about);
        self.is_unconfirmed = self.promise.is_some();
        self.highest_ballot = self
            .highest_ballot
            .max(report.active_map_id)
            .max(report.staged.map_or(0, |staged| staged.map_id));
    }

    /// Records what the engine reports of a promise that was read back: it is confirmed once no order of
    /// the process that made it can be executed any more.
    pub(crate) fn confirm(&mut self, report: MapEngineReport) {
        self.is_unconfirmed &= report.may_be_released_late;
    }

    /// Returns the promise that was read back and is to be confirmed.
    pub(crate) fn unconfirmed_promise(&self) -> Option<Promise> {
        self.promise.filter(|_| self.is_unconfirmed)
    }

    /// Records that the rank promises the map that its engine has staged.
    pub(crate) fn promise(&mut self, staged: StagedMap) {
        self.promise = Some(Promise::about(staged));
    }

    /// Records the decision that a map is dropped, which ends a promise of it.
    pub(crate) fn abort(&mut self, map_id: u64) {
        self.aborted_map_id = map_id;
        self.promise.take_if(|promise| promise.map_id == map_id);
    }

    /// Returns whether the rank has promised to hold this step.
    pub(crate) fn has_promised_step(&self, step: u64) -> bool {
        self.promise
            .is_some_and(|promise| promise.switch_step == step)
    }

    /// Returns the map that the engine holds a promised step for, if it is undecided.
    ///
    /// The promise counts, not what the engine reports: a delayed order may have replaced the map that
    /// the engine had copied.
    pub(crate) fn undecided_promise(&self) -> Option<Promise> {
        let staged = self.engine_report?.undecided()?;
        self.promise
            .filter(|promise| promise.switch_step == staged.switch_step)
    }

    /// Records since when the staged map has been undecided and the engine has been held.
    pub(crate) fn update_wait_times(&mut self, report: MapEngineReport) {
        self.undecided_since_ms = report
            .undecided()
            .map(|_| self.undecided_since_ms.unwrap_or(self.now_ms));
        self.held_since_ms = report
            .is_held
            .then(|| self.held_since_ms.unwrap_or(self.now_ms));
    }

    /// Returns the id of the undecided map that the rank has promised and can switch to; zero for none.
    pub(crate) fn undecided_map_id(&self) -> u64 {
        let staged = self.engine_report.and_then(|engine| engine.undecided());
        let promised = staged.filter(|staged| self.promise == Some(Promise::about(*staged)));
        promised.map_or(0, |staged| staged.map_id)
    }

    /// Returns whether the map is active or committed in the engine, or was committed by this
    /// process.
    pub(crate) fn has_committed(&self, map_id: u64) -> bool {
        let is_committed_in_engine = self
            .engine_report
            .is_some_and(|engine| engine.has_committed(map_id));
        is_committed_in_engine || self.committed_map_id == map_id
    }

    pub(crate) fn prepare_reply(&self, call_id: u64, reason: MapRefusal) -> MapAction {
        let promised = reason == MapRefusal::Unspecified;
        let refusal = if promised { "" } else { reason.as_str_name() };
        MapAction::Reply {
            call_id,
            reply: MapReply::Prepare(PrepareMapReply {
                promised,
                highest_ballot: self.highest_ballot,
                current_step: self.engine_report.map_or(0, |engine| engine.step),
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
        let staged = self.engine_report.and_then(|engine| engine.staged);
        let committed = staged.filter(|staged| staged.committed);
        let held_ms = self
            .held_since_ms
            .map_or(0, |since_ms| self.now_ms.saturating_sub(since_ms));
        MapStateReply {
            highest_ballot: self.highest_ballot,
            current_step: self.engine_report.map_or(0, |engine| engine.step),
            active_map_id: self.engine_report.map_or(0, |engine| engine.active_map_id),
            prepared_map_id: self.undecided_map_id(),
            switch_step: staged.map_or(0, |staged| staged.switch_step),
            committed_map_id: committed.map_or(self.committed_map_id, |staged| staged.map_id),
            aborted_map_id: self.aborted_map_id,
            agent_incarnation: self.agent_incarnation.0,
            group_incarnation: self
                .engine_report
                .map_or(0, |engine| engine.group_incarnation),
            reason: reason.into(),
            held_ms,
            highest_switch_step: self.highest_switch_step,
        }
    }
}
