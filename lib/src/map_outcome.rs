//! How a coordinator's run ended.

use std::fmt;

use pomeloramp_proc_macros::key;

/// How the run of a [`MapCoordinator`](crate::MapCoordinator) ended.
#[key]
pub enum MapOutcome {
    /// The proposed map is or will be used by all ranks.
    Committed {
        /// Id of the map.
        map_id: u64,
    },
    /// The proposed map is used by no rank and never will be.
    Aborted {
        /// Id of the map.
        map_id: u64,
    },
    /// A later map is in use; the fate of the proposed one is no longer known.
    Superseded {
        /// Id of the proposed map.
        map_id: u64,
    },
    /// Nothing was proposed, and no rank has an undecided map.
    Settled,
}

impl fmt::Display for MapOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Committed { map_id } => write!(formatter, "map {map_id:#x} was committed"),
            Self::Aborted { map_id } => write!(formatter, "map {map_id:#x} was aborted"),
            Self::Superseded { map_id } => write!(formatter, "map {map_id:#x} was superseded"),
            Self::Settled => formatter.write_str("nothing is undecided"),
        }
    }
}
