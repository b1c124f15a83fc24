//! State of a rank's engine, as read back by the rank's agent.

use pomeloramp_proc_macros::key;

use crate::StagedMap;

/// What an engine answers to every [`MapOrder`](crate::MapOrder): its state after the order.
#[key]
pub struct MapEngineReport {
    /// The formation of the rank group that the engine belongs to.
    pub group_incarnation: u64,
    /// The step that the engine runs, or waits to run.
    pub step: u64,
    /// The map that the step uses.
    pub active_map_id: u64,
    /// The map staged beside the active one.
    pub staged: Option<StagedMap>,
    /// Whether the engine waits, before it begins `step`, for the decision on the staged map.
    pub is_held: bool,
}

impl MapEngineReport {
    /// Returns the staged map that was neither committed nor released, and that is held in time.
    #[must_use]
    pub fn undecided(&self) -> Option<StagedMap> {
        self.uncommitted().filter(|_| !self.is_overrun())
    }

    /// Returns the staged map that was not committed, in time or not.
    pub(crate) fn uncommitted(&self) -> Option<StagedMap> {
        self.staged.filter(|staged| !staged.committed)
    }

    /// Returns whether the switch step of the undecided map began before the map was staged.
    pub(crate) fn is_overrun(&self) -> bool {
        self.uncommitted().is_some_and(|staged| {
            self.step > staged.switch_step || (self.step == staged.switch_step && !self.is_held)
        })
    }

    /// Returns whether the map is active or will be at its switch step.
    #[must_use]
    pub fn has_committed(&self, map_id: u64) -> bool {
        let staged = self
            .staged
            .is_some_and(|staged| staged.committed && staged.map_id == map_id);
        staged || self.active_map_id == map_id
    }
}
