//! Orders from an agent to its engine that concern expert maps.

use crate::protos::control::ExpertMap;

/// An order to the engine of one rank, answered by a
/// [`MapEngineReport`](crate::MapEngineReport).
#[derive(Debug, Clone, PartialEq)]
pub enum MapOrder {
    /// Reads the engine's state without changing it.
    Read,
    /// Stages a map, and holds before `switch_step` until it is decided; no effect while another map
    /// is staged.
    Stage {
        /// The map to stage.
        map: ExpertMap,
        /// The first step that uses the map.
        switch_step: u64,
    },
    /// Lets the engine begin an order that changes nothing for the held map, so that no order which was sent
    /// before is executed any more.
    Confirm {
        /// Id of the staged map.
        map_id: u64,
    },
    /// Ends the hold and switches to the staged map at its switch step; no effect if another map is
    /// staged.
    Commit {
        /// Id of the staged map.
        map_id: u64,
    },
    /// Ends the hold and drops the staged map; no effect if another map is staged.
    Release {
        /// Id of the staged map.
        map_id: u64,
    },
}
