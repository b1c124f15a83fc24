//! The effect of a process's report on the view of another process.

use pomeloramp_proc_macros::key;

/// The effect of a process's report on the view of another process.
#[key]
pub enum ReportEffect {
    /// The report came from the known incarnation and was merged.
    Refreshed,
    /// The report came from the first known or a newer incarnation.
    NewIncarnation,
    /// The report was ignored, since it may be older than the known one or its VM is unknown.
    Ignored,
}
