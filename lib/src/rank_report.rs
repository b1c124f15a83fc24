//! Status report of a rank's engine on the direct path.

use pomeloramp_proc_macros::value;

use crate::MapEngineReport;
use crate::StagedMap;

/// Stands in for the id of the staged map when an engine holds a step without any copied map.
///
/// Ids of proposed maps are far higher.
pub const PLACEHOLDER_MAP_ID: u64 = 1;

/// Status of the engine of a rank, as it reports it on the direct path.
#[value]
pub struct RankReport {
    /// Name of the rank group.
    pub group: String,
    /// Incarnation of the group.
    pub group_incarnation: u64,
    /// The rank of the engine, counted from zero.
    pub rank: u32,
    /// Number of ranks in the group.
    pub rank_count: u32,
    /// Whether the group executes steps.
    pub is_open: bool,
    /// When the engine was started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The last step (forward pass) that was started.
    pub step: u64,
    /// Id of the map in use.
    pub active_map_id: u64,
    /// Id of the map whose experts the rank has copied completely.
    pub copied_map_id: Option<u64>,
    /// Id of the map that the rank will switch to at a later step.
    pub armed_map_id: Option<u64>,
    /// The step at which it switches, if the engine reports it.
    pub armed_step: Option<u64>,
    /// Slowdown of the engine: the time of a step in percent of the usual time; 100 means none.
    pub slowdown_percent: u32,
    /// The step that the group does not start before the rank releases its hold.
    pub held_step: Option<u64>,
    /// Number of orders that the engine has begun since it was started, if it counts them.
    pub order_count: Option<u64>,
}

impl RankReport {
    /// Converts the report to the state that the agreement on maps uses.
    ///
    /// A map counts as staged while the rank holds its switch step. It counts as committed once the
    /// rank is armed and has released the hold. An agent that was restarted between these two
    /// operations therefore finds the map undecided, and learns from its peers that it was
    /// committed.
    #[must_use]
    pub fn to_map_engine_report(&self) -> MapEngineReport {
        MapEngineReport {
            group_incarnation: self.group_incarnation,
            step: self.step,
            active_map_id: self.active_map_id,
            staged: self.staged(),
            is_held: self.held_step.is_some_and(|held| held <= self.step + 1),
            may_be_released_late: self.held_step.is_some() && self.armed_map_id.is_none(),
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
