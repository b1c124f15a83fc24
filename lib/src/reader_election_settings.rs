//! Bounds of the election of configuration readers.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Bounds of the election of configuration readers.
#[value]
#[derive(Builder)]
pub struct ReaderElectionSettings {
    /// VM that this process runs on.
    pub vm_name: String,
    /// Availability zone whose processes elect readers among themselves.
    pub availability_zone: String,
    /// Readers that each availability zone keeps.
    #[builder(default = 2)]
    pub readers_per_zone: usize,
    /// Time without news from any reader after which a process reads by itself.
    #[builder(default = 3_000)]
    pub fallback_after_ms: u64,
    /// Least time over which the reads of all processes spread when readers have vanished.
    #[builder(default = 30_000)]
    pub fallback_spread_ms: u64,
}
