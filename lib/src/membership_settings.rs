//! Intervals of a process's view of the others.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Intervals of a process's view of the others.
#[value]
#[derive(Builder)]
pub struct MembershipSettings {
    /// VM that this process runs on.
    pub vm_name: String,
    /// Time between heartbeats to a VM from which nothing else is heard.
    #[builder(default = 1_000)]
    pub heartbeat_interval_ms: u64,
    /// Time after which a VM's last word no longer counts. It bounds how long a leaving VM is
    /// still chosen.
    #[builder(default = 3_000)]
    pub suspect_after_ms: u64,
    /// Time after its last word at which a VM that left the list is forgotten.
    #[builder(default = 60_000)]
    pub forget_after_ms: u64,
}
