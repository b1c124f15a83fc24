//! Outcome of a map coordinator.

use std::fmt;

use pomeloramp_proc_macros::key;

/// Outcome of a [`MapCoordinator`](crate::MapCoordinator).
#[key]
pub enum MapOutcome {
    /// All ranks use the proposed map, or will switch to it at its switch step.
    Committed {
        /// Id of the map.
        map_id: u64,
    },
    /// No rank uses the proposed map, and none ever will.
    Aborted {
        /// Id of the map.
        map_id: u64,
    },
    /// A later map is in use, and the ranks no longer record whether the proposed one was
    /// committed.
    Superseded {
        /// Id of the proposed map.
        map_id: u64,
    },
    /// The coordinator proposed no map, and no rank has an undecided one.
    Settled,
}

impl fmt::Display for MapOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Committed { map_id } => write!(formatter, "map {map_id:#x} was committed"),
            Self::Aborted { map_id } => write!(formatter, "map {map_id:#x} was aborted"),
            Self::Superseded { map_id } => write!(formatter, "map {map_id:#x} was superseded"),
            Self::Settled => formatter.write_str("no map is undecided"),
        }
    }
}
