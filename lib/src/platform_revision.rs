//! Position in the history of what the platform publishes.

use std::fmt;

use pomeloramp_proc_macros::key;
use serde::Deserialize;
use serde::Serialize;

/// Position in the history of what the platform publishes.
///
/// When the platform is restored from a copy, its era rises by one, and its revision falls back to
/// that of the copy. Later revisions of the previous era are then assigned again to other changes,
/// so positions are ordered by era first.
#[key]
#[derive(Default, Serialize, Deserialize)]
pub struct PlatformRevision {
    /// Number of times that the platform was restored; zero for a platform that reports none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl PlatformRevision {
    /// Creates a position.
    #[must_use]
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for PlatformRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "revision {} of era {}", self.revision, self.era)
    }
}
