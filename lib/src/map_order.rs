//! Orders about expert maps from an agent to its engine.

use crate::protos::control::ExpertMap;

/// An order to the engine of one rank, answered by a
/// [`MapEngineReport`](crate::MapEngineReport).
#[derive(Debug, Clone, PartialEq)]
pub enum MapOrder {
    /// Changes nothing.
    Read,
    /// Stages a map and holds before `switch_step`; no effect while another map is staged.
    Stage {
        /// The map to stage.
        map: ExpertMap,
        /// The step before which to hold.
        switch_step: u64,
    },
    /// Ends the hold and switches to the staged map at its switch step; no effect on other maps.
    Commit {
        /// Id of the staged map.
        map_id: u64,
    },
    /// Ends the hold and drops the staged map; no effect on other maps.
    Release {
        /// Id of the staged map.
        map_id: u64,
    },
}
