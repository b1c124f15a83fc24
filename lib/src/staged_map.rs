//! An expert map that an engine has staged.

use pomeloramp_proc_macros::key;

/// A staged expert map. The engine does not start its switch step before the map is decided.
#[key]
pub struct StagedMap {
    /// Id of the map.
    pub map_id: u64,
    /// The first step that would use the map; the engine holds before it until a decision.
    pub switch_step: u64,
    /// Whether the map is committed; if so, the engine switches to it at `switch_step`.
    pub committed: bool,
}
