//! Settings of the call registry.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Bounds and windows of a [`CallRegistry`](crate::CallRegistry).
#[value]
#[derive(Builder)]
pub struct CallRegistrySettings {
    /// Calls that are running or whose answers are held, at most.
    pub max_records: usize,
    /// Calls of one organisation that are running or whose answers are held, at most.
    pub max_records_per_organisation: usize,
    /// Voided calls that are remembered one by one.
    pub max_voids: usize,
    /// Bytes of all held answers, at most.
    pub max_answer_bytes: u64,
    /// Bytes of one organisation's held answers, at most.
    pub max_answer_bytes_per_organisation: u64,
    /// How long a placement is accepted, and how long an answer is held, in milliseconds.
    pub answer_window_ms: u64,
    /// How long a digest of a call is held after its answer, in milliseconds.
    pub digest_horizon_ms: u64,
    /// Digests that are held, at most.
    pub max_digests: usize,
    /// Delay that refused callers are advised, in milliseconds.
    pub retry_after_ms: u64,
}
