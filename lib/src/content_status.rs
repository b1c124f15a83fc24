//! What is held against a request's content.

use pomeloramp_proc_macros::key;

/// What is held against a request's content.
#[key]
pub enum ContentStatus {
    /// Nothing.
    Clear,
    /// It ran on an endpoint that crashed, and runs alone until that shows it harmless.
    Suspect,
    /// It crashed an endpoint on which it ran alone, and is refused.
    Quarantined,
}
