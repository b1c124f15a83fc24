//! Settings of the quarantine.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Limits and lifetimes of a [`Quarantine`](crate::Quarantine).
#[value]
#[derive(Builder)]
pub struct QuarantineSettings {
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Lifetime of a suspicion or its clearing, in milliseconds.
    pub suspicion_ms: u64,
    /// Lifetime of a quarantine, in milliseconds.
    pub quarantine_ms: u64,
    /// Subtracted from the remaining lifetime of an entry from a peer, in milliseconds.
    ///
    /// Must exceed the transit time of messages between peers. Otherwise entries that peers send
    /// each other would outlive their declared lifetime.
    pub transit_margin_ms: u64,
}
