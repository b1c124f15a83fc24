//! What a process says of itself.

use pomeloramp_proc_macros::value;

use crate::Incarnation;

/// What a process says of itself in a heartbeat or beside an answer.
#[value]
pub struct MemberReport {
    /// VM that the process runs on.
    pub vm_name: String,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// The process's own monotonic clock.
    pub clock_ms: u64,
    /// The process takes no new work.
    pub leaving: bool,
    /// The endpoint beside the process answers; true for processes without one.
    pub endpoint_up: bool,
    /// Highest configuration revision that the process knows.
    pub config_revision: u64,
}
