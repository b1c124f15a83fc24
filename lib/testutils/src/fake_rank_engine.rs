//! A minimal fake of the engine of one rank.

use pomeloramp_lib::MapEngineReport;
use pomeloramp_lib::MapOrder;
use pomeloramp_lib::StagedMap;

/// An engine that executes every order regardless of its age, and does not check switch steps.
#[derive(Debug, Clone)]
pub struct FakeRankEngine {
    /// Incarnation of the group that the engine belongs to.
    pub group_incarnation: u64,
    /// The step that is running, or that the engine starts next.
    pub step: u64,
    /// Whether `step` is running.
    pub is_running: bool,
    /// Id of the map that the step uses.
    pub active_map_id: u64,
    /// The next map, if one is staged.
    pub staged: Option<StagedMap>,
    /// Number of times that a missing decision prevented the start of a step.
    pub held_steps: u64,
}

impl FakeRankEngine {
    /// Creates an engine at step zero of a new incarnation of the group.
    #[must_use]
    pub fn new(group_incarnation: u64, active_map_id: u64) -> Self {
        Self {
            group_incarnation,
            step: 0,
            is_running: false,
            active_map_id,
            staged: None,
            held_steps: 0,
        }
    }

    /// Executes an order and returns the state after it.
    pub fn apply(&mut self, order: &MapOrder) -> MapEngineReport {
        let staged_map_id = self.staged.map(|staged| staged.map_id);
        match order {
            MapOrder::Stage { map, switch_step } => {
                self.staged.get_or_insert(StagedMap {
                    map_id: map.map_id,
                    switch_step: *switch_step,
                    committed: false,
                });
            }
            MapOrder::Commit { map_id } if staged_map_id == Some(*map_id) => {
                self.staged = self.staged.map(|staged| StagedMap {
                    committed: true,
                    ..staged
                });
            }
            MapOrder::Release { map_id } if staged_map_id == Some(*map_id) => self.staged = None,
            MapOrder::Read
            | MapOrder::Confirm { .. }
            | MapOrder::Commit { .. }
            | MapOrder::Release { .. } => {}
        }
        self.report()
    }

    /// Starts the step unless the engine is held; returns whether it started.
    pub fn begin_step(&mut self) -> bool {
        if self.is_held() {
            self.held_steps += 1;
            return false;
        }
        if let Some(staged) = self.staged
            && self.step >= staged.switch_step
        {
            self.active_map_id = staged.map_id;
            self.staged = None;
        }
        self.is_running = true;
        true
    }

    /// Ends the running step.
    pub fn end_step(&mut self) {
        self.is_running = false;
        self.step += 1;
    }

    /// Returns whether the engine is blocked until the staged map is decided.
    #[must_use]
    pub fn is_held(&self) -> bool {
        let is_due = |staged: StagedMap| !staged.committed && self.step >= staged.switch_step;
        !self.is_running && self.staged.is_some_and(is_due)
    }

    fn report(&self) -> MapEngineReport {
        MapEngineReport {
            group_incarnation: self.group_incarnation,
            step: self.step,
            active_map_id: self.active_map_id,
            staged: self.staged,
            is_held: self.is_held(),
            may_be_released_late: false,
        }
    }
}
