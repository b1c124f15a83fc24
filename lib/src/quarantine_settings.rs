//! Settings of the quarantine.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Bounds and lifetimes of a [`Quarantine`](crate::Quarantine).
#[value]
#[derive(Builder)]
pub struct QuarantineSettings {
    /// Contents that are remembered, at most.
    pub max_entries: usize,
    /// How long a suspicion or its clearing is remembered, in milliseconds.
    pub suspicion_ms: u64,
    /// How long content is refused, in milliseconds.
    pub quarantine_ms: u64,
    /// Taken off the remaining time of an entry from a peer, in milliseconds.
    ///
    /// Must exceed the time that a message between peers is under way, or entries that are passed
    /// around would live longer than declared.
    pub transit_margin_ms: u64,
    /// Crashes beside other content after which content is refused; zero for never.
    #[builder(default)]
    pub quarantine_after_shared_crashes: u32,
}
