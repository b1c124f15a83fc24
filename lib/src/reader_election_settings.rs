//! Settings of the election of configuration readers.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Settings of the election of configuration readers.
#[value]
#[derive(Builder)]
pub struct ReaderElectionSettings {
    /// VM that this process runs on.
    pub vm_name: String,
    /// Availability zone whose processes elect readers among themselves.
    pub availability_zone: String,
    /// Number of readers in each availability zone.
    #[builder(default = 2)]
    pub readers_per_zone: usize,
    /// Time without contact with any reader after which a process reads the service by itself.
    #[builder(default = 3_000)]
    pub fallback_after_ms: u64,
    /// Shortest time over which the fallback reads of all processes are spread.
    #[builder(default = 30_000)]
    pub fallback_spread_ms: u64,
}
