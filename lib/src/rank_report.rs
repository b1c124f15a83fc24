//! What the engine of a rank says of itself on the direct path.

use pomeloramp_proc_macros::value;

use crate::MapEngineReport;
use crate::StagedMap;

/// Id that stands for a map that a rank holds for and that has no id, because nothing is prepared.
///
/// Ids of proposed maps are far above it.
pub const PLACEHOLDER_MAP_ID: u64 = 1;

/// What the engine of a rank says of itself on the direct path.
#[value]
pub struct RankReport {
    /// Name of the rank group.
    pub group: String,
    /// Formation of the group.
    pub group_incarnation: u64,
    /// The rank of the engine, counted from zero.
    pub rank: u32,
    /// Number of ranks in the group.
    pub rank_count: u32,
    /// The group runs passes.
    pub is_open: bool,
    /// When the engine was started, in milliseconds of the Unix epoch.
    pub started_ms: u64,
    /// The last pass that was begun.
    pub step: u64,
    /// The map in use.
    pub active_map_id: u64,
    /// The map whose copies are complete.
    pub copied_map_id: Option<u64>,
    /// The map that the rank switches to at a step to come.
    pub armed_map_id: Option<u64>,
    /// The step at which it switches, where the engine says so.
    pub armed_step: Option<u64>,
    /// How much longer than usual the engine takes, in percent.
    pub slowdown_percent: u32,
    /// The step that the group does not begin before the rank lets it.
    pub held_step: Option<u64>,
}

impl RankReport {
    /// Returns the report in the terms of the agreement on maps.
    ///
    /// A map is staged while the rank holds for it. It is committed once the rank is armed and has
    /// let go: an agent that was restarted between the two finds the map undecided, and learns
    /// from the others that it was committed.
    #[must_use]
    pub fn to_map_engine_report(&self) -> MapEngineReport {
        MapEngineReport {
            group_incarnation: self.group_incarnation,
            step: self.step,
            active_map_id: self.active_map_id,
            staged: self.staged(),
            is_held: self.held_step.is_some_and(|held| held <= self.step + 1),
        }
    }

    fn staged(&self) -> Option<StagedMap> {
        let committed = self.armed_map_id.is_some() && self.held_step.is_none();
        let switch_step = self.held_step.or(self.armed_step)?;
        let map_id = self.armed_map_id.or(self.copied_map_id);
        Some(StagedMap {
            map_id: map_id.unwrap_or(PLACEHOLDER_MAP_ID),
            switch_step,
            committed,
        })
    }
}
