//! The report of a process on its own state.

use pomeloramp_proc_macros::value;

use crate::Incarnation;

/// The report of a process on its own state, sent in replies to heartbeats and in other answers.
#[value]
pub struct MemberReport {
    /// VM that the process runs on.
    pub vm_name: String,
    /// Incarnation of the process, which identifies its run.
    pub incarnation: Incarnation,
    /// Time of the report by the process's own monotonic clock.
    pub clock_ms: u64,
    /// The process takes no new work.
    pub leaving: bool,
    /// The endpoint on the same VM answers; true for processes without an endpoint.
    pub endpoint_up: bool,
    /// Highest configuration revision that the process knows.
    pub config_revision: u64,
}
