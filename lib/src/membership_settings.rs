//! Intervals and timeouts of a process's view of the other VMs.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Intervals and timeouts of a process's view of the other VMs.
#[value]
#[derive(Builder)]
pub struct MembershipSettings {
    /// VM that this process runs on.
    pub vm_name: String,
    /// Time between heartbeats to a VM that sends no reports in other answers.
    #[builder(default = 1_000)]
    pub heartbeat_interval_ms: u64,
    /// Time after its last report at which a VM is suspected. It limits how long a leaving VM is
    /// still chosen.
    #[builder(default = 3_000)]
    pub suspect_after_ms: u64,
    /// Time after its last report at which a VM that is no longer on the list is forgotten.
    #[builder(default = 60_000)]
    pub forget_after_ms: u64,
}
