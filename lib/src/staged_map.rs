//! A map that an engine has staged.

use pomeloramp_proc_macros::key;

/// A staged expert map, before which the engine holds until it is decided.
#[key]
pub struct StagedMap {
    /// Id of the map.
    pub map_id: u64,
    /// The first step that runs with the map, and that does not begin before a decision.
    pub switch_step: u64,
    /// Whether the map was committed; the engine then switches to it at `switch_step`.
    pub committed: bool,
}
