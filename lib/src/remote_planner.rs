//! The rank whose agent plans the expert maps of a group, as seen by the others.

/// Time without a beacon after which the planner of another rank counts as stopped.
pub(crate) const PLANNER_TIMEOUT_MS: u64 = 700;

/// The planner of another rank, as its last beacon describes it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RemotePlanner {
    pub(crate) rank: u32,
    /// When the last beacon was received.
    pub(crate) last_beacon_ms: u64,
    /// Id of the map whose layout the planner knows.
    pub(crate) known_map_id: u64,
}

impl RemotePlanner {
    /// Returns whether its beacons still arrive.
    pub(crate) fn is_live(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_beacon_ms) < PLANNER_TIMEOUT_MS
    }
}
