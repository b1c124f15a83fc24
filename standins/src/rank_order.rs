//! Orders about expert maps to the engine of one rank, and its answers.

use pomeloramp_proc_macros::document;

/// The replica of an expert on a rank.
#[document]
#[derive(Copy, Eq, Hash)]
pub(crate) struct Replica {
    pub(crate) layer: u32,
    pub(crate) expert: u32,
    pub(crate) rank: u32,
}

/// What an agent orders.
#[document]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub(crate) enum RankOrder {
    /// Changes nothing.
    Read,
    /// Stages a map and holds before its switch step.
    Stage {
        map_id: u64,
        switch_step: u64,
        replicas: Vec<Replica>,
    },
    /// Ends the hold and switches at the switch step.
    Commit { map_id: u64 },
    /// Ends the hold and drops the staged map.
    Release { map_id: u64 },
}

impl RankOrder {
    /// Returns the kind as it is written in JSON.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Stage { .. } => "stage",
            Self::Commit { .. } => "commit",
            Self::Release { .. } => "release",
        }
    }
}

/// An order with the number of the agent's run that gave it.
#[document]
pub(crate) struct FencedOrder {
    pub(crate) fencing: u64,
    pub(crate) order: RankOrder,
}

/// The staged map as reported.
#[document]
pub(crate) struct StagedReport {
    pub(crate) map_id: u64,
    pub(crate) switch_step: u64,
    pub(crate) committed: bool,
}

/// State of the engine after an order.
#[document]
pub(crate) struct RankReport {
    pub(crate) group_incarnation: u64,
    pub(crate) step: u64,
    pub(crate) active_map_id: u64,
    pub(crate) staged: Option<StagedReport>,
    pub(crate) held: bool,
    pub(crate) newest_fencing: u64,
}
