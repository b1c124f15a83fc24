//! The engine of one rank.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::rank_order::RankOrder;
use crate::rank_order::RankReport;
use crate::rank_order::Replica;
use crate::rank_order::StagedReport;

/// An expert map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Map {
    pub(crate) map_id: u64,
    pub(crate) replicas: Vec<Replica>,
}

#[derive(Debug)]
struct Staged {
    map: Arc<Map>,
    switch_step: u64,
    committed: bool,
}

/// The engine of one rank, which obeys every order that it does not refuse.
#[derive(Debug)]
pub(crate) struct RankEngine {
    rank: u32,
    /// The step that runs, or that the engine waits to run.
    pub(crate) step: u64,
    pub(crate) is_running: bool,
    pub(crate) active: Arc<Map>,
    staged: Option<Staged>,
    newest_fencing: u64,
    /// Layer and expert of the weights in memory.
    weights: BTreeSet<(u32, u32)>,
}

impl RankEngine {
    /// Creates an engine at step zero of a new formation of the group.
    pub(crate) fn new(rank: u32, active: Arc<Map>) -> Self {
        Self {
            rank,
            step: 0,
            is_running: false,
            weights: weights_of(rank, &active),
            active,
            staged: None,
            newest_fencing: 0,
        }
    }

    /// Takes note of a fencing number; returns whether it is not older than the newest.
    pub(crate) fn fence(&mut self, fencing: u64) -> bool {
        let is_current = fencing >= self.newest_fencing;
        self.newest_fencing = self.newest_fencing.max(fencing);
        is_current
    }

    /// Carries out an order, which has no effect where it names another map than the staged one.
    pub(crate) fn apply(&mut self, order: RankOrder, require_weights: bool) {
        match order {
            RankOrder::Read => {}
            RankOrder::Stage {
                map_id,
                switch_step,
                replicas,
            } => {
                let map = Arc::new(Map { map_id, replicas });
                let is_loaded = weights_of(self.rank, &map).is_subset(&self.weights);
                if is_loaded || !require_weights {
                    self.staged.get_or_insert(Staged {
                        map,
                        switch_step,
                        committed: false,
                    });
                }
            }
            RankOrder::Commit { map_id } => {
                if let Some(staged) = &mut self.staged
                    && staged.map.map_id == map_id
                {
                    staged.committed = true;
                }
            }
            RankOrder::Release { map_id } => {
                self.staged.take_if(|staged| staged.map.map_id == map_id);
            }
        }
    }

    /// Takes in the weights of one expert of one layer.
    pub(crate) fn load_weights(&mut self, layer: u32, expert: u32) {
        self.weights.insert((layer, expert));
    }

    /// Begins the step, switching to the committed map if it is due.
    pub(crate) fn begin_step(&mut self) {
        let step = self.step;
        if let Some(staged) = self.staged.take_if(|staged| step >= staged.switch_step) {
            self.active = staged.map;
            self.weights = weights_of(self.rank, &self.active);
        }
        self.is_running = true;
    }

    /// Ends the running step.
    pub(crate) fn end_step(&mut self) {
        self.is_running = false;
        self.step += 1;
    }

    /// Returns whether the engine waits for a decision.
    pub(crate) fn is_held(&self) -> bool {
        let is_due = |staged: &Staged| !staged.committed && self.step >= staged.switch_step;
        !self.is_running && self.staged.as_ref().is_some_and(is_due)
    }

    /// Returns the state.
    pub(crate) fn report(&self, group_incarnation: u64) -> RankReport {
        RankReport {
            group_incarnation,
            step: self.step,
            active_map_id: self.active.map_id,
            staged: self.staged.as_ref().map(|staged| StagedReport {
                map_id: staged.map.map_id,
                switch_step: staged.switch_step,
                committed: staged.committed,
            }),
            held: self.is_held(),
            newest_fencing: self.newest_fencing,
        }
    }
}

/// Returns layer and expert of the weights that a map needs on a rank.
fn weights_of(rank: u32, map: &Map) -> BTreeSet<(u32, u32)> {
    let replicas = map.replicas.iter().filter(|replica| replica.rank == rank);
    replicas
        .map(|replica| (replica.layer, replica.expert))
        .collect()
}
