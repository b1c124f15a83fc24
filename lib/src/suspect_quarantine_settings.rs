//! Settings of the quarantine of crash suspects.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Limits and lifetimes of a [`SuspectQuarantine`](crate::SuspectQuarantine).
#[value]
#[derive(Builder)]
pub struct SuspectQuarantineSettings {
    /// Crashes after which a suspect is refused.
    #[builder(default = 3)]
    pub min_crashes: usize,
    /// Age from which a crash counts towards refusal. Other entries may report meanwhile that a call
    /// with the suspect has survived.
    #[builder(default = 500)]
    pub confirm_ms: u64,
    /// Time after a crash in which the same run of an endpoint does not crash again. Longer than the time
    /// within which all entries notice a crash.
    #[builder(default = 3_000)]
    pub same_crash_ms: u64,
    /// Time for which a crash counts. Longer than `refusal_ms`, so that a suspect that was refused is
    /// refused again after one more crash.
    #[builder(default = 600_000)]
    pub evidence_ms: u64,
    /// Time for which a suspect is refused after its last crash.
    #[builder(default = 300_000)]
    pub refusal_ms: u64,
    /// Time after a survival in which crashes are void, like those before it.
    #[builder(default = 10_000)]
    pub survival_covers_ms: u64,
    /// Time for which a survival is remembered, so that older crashes reported later are void.
    #[builder(default = 60_000)]
    pub survival_memory_ms: u64,
    /// A crash that counts for less than this is not taken over from other entries.
    ///
    /// Must exceed the transit time of messages between peers. Otherwise entries that report a crash
    /// to each other would prolong it.
    #[builder(default = 1_000)]
    pub transit_margin_ms: u64,
    /// Time for which a change is reported to the other entries.
    #[builder(default = 1_000)]
    pub change_relay_ms: u64,
    /// Maximum number of suspects that were at crashes. Room for those of all calls at one crash, each
    /// with as many parts as a request head holds.
    #[builder(default = 16_384)]
    pub max_suspects: usize,
    /// Maximum number of crashes of one suspect; the latest are kept.
    #[builder(default = 16)]
    pub max_crashes: usize,
    /// Maximum number of survivals.
    #[builder(default = 65_536)]
    pub max_survivals: usize,
    /// Maximum number of suspects in one report.
    #[builder(default = 32)]
    pub max_reports: usize,
}
