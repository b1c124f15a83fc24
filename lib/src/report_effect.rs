//! What became of a process's word.

use pomeloramp_proc_macros::key;

/// What became of a process's word.
#[key]
pub enum ReportEffect {
    /// The word came from the known incarnation.
    Refreshed,
    /// The word came from a first or newer incarnation.
    NewIncarnation,
    /// The word may be older than what is known, or its VM is unknown.
    Ignored,
}
