//! A tiny engine of one rank.

use pomeloramp_lib::MapEngineReport;
use pomeloramp_lib::MapOrder;
use pomeloramp_lib::StagedMap;

/// An engine that obeys every order, whatever its age, and does not check switch steps.
#[derive(Debug, Clone)]
pub struct FakeRankEngine {
    /// The formation of the group that the engine belongs to.
    pub group_incarnation: u64,
    /// The step that runs, or that the engine waits to run.
    pub step: u64,
    /// Whether `step` runs.
    pub is_running: bool,
    /// The map that the step uses.
    pub active_map_id: u64,
    /// The map staged beside it.
    pub staged: Option<StagedMap>,
    /// How often a step could have begun but for a missing decision.
    pub held_steps: u64,
}

impl FakeRankEngine {
    /// Creates an engine at step zero of a new formation of the group.
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

    /// Carries out an order and returns the state after it.
    pub fn apply(&mut self, order: &MapOrder) -> MapEngineReport {
        let staged_id = self.staged.map(|staged| staged.map_id);
        match order {
            MapOrder::Stage { map, switch_step } => {
                self.staged.get_or_insert(StagedMap {
                    map_id: map.map_id,
                    switch_step: *switch_step,
                    committed: false,
                });
            }
            MapOrder::Commit { map_id } if staged_id == Some(*map_id) => {
                self.staged = self.staged.map(|staged| StagedMap {
                    committed: true,
                    ..staged
                });
            }
            MapOrder::Release { map_id } if staged_id == Some(*map_id) => self.staged = None,
            MapOrder::Read | MapOrder::Commit { .. } | MapOrder::Release { .. } => {}
        }
        self.report()
    }

    /// Begins the step, unless the engine holds; returns whether it began.
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

    /// Returns whether the engine waits for a decision.
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
        }
    }
}
