//! Quarantine status of a request's content.

use pomeloramp_proc_macros::key;

/// Quarantine status of a request's content.
#[key]
pub enum ContentStatus {
    /// The content is not known to have run on a crashed endpoint, or was cleared.
    Clear,
    /// The content was running on an endpoint that crashed. It runs alone until a run without a
    /// crash clears it.
    Suspect,
    /// The content is refused: an endpoint crashed on which it ran alone, or it was part of too
    /// many crashes.
    Quarantined,
}
