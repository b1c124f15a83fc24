//! State of a rank's engine, as the map agreement sees it.

use pomeloramp_proc_macros::key;

use crate::StagedMap;

/// State of an engine after a [`MapOrder`](crate::MapOrder).
#[key]
pub struct MapEngineReport {
    /// Incarnation of the rank group that the engine belongs to.
    pub group_incarnation: u64,
    /// The step that the engine executes, or that it is about to start.
    pub step: u64,
    /// Id of the map that the step uses.
    pub active_map_id: u64,
    /// The next map, if one is staged.
    pub staged: Option<StagedMap>,
    /// Whether the engine is blocked before `step` until the staged map is decided.
    pub is_held: bool,
    /// Whether an order that was sent before may still be executed and end the hold.
    pub may_be_released_late: bool,
}

impl MapEngineReport {
    /// Returns the staged map if it is undecided and was staged before its switch step started.
    #[must_use]
    pub fn undecided(&self) -> Option<StagedMap> {
        self.uncommitted().filter(|_| !self.is_overrun())
    }

    /// Returns the staged map if it is not committed, even if it was staged too late.
    pub(crate) fn uncommitted(&self) -> Option<StagedMap> {
        self.staged.filter(|staged| !staged.committed)
    }

    /// Returns whether the switch step of the uncommitted map started before the map was staged.
    pub(crate) fn is_overrun(&self) -> bool {
        self.uncommitted().is_some_and(|staged| {
            self.step > staged.switch_step || (self.step == staged.switch_step && !self.is_held)
        })
    }

    /// Returns whether the map is active, or is committed and becomes active at its switch step.
    #[must_use]
    pub fn has_committed(&self, map_id: u64) -> bool {
        let staged = self
            .staged
            .is_some_and(|staged| staged.committed && staged.map_id == map_id);
        staged || self.active_map_id == map_id
    }
}
