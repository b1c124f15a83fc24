//! Settings of the call registry.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Limits and retention times of a [`CallRegistry`](crate::CallRegistry).
#[value]
#[derive(Builder)]
pub struct CallRegistrySettings {
    /// Maximum number of calls that are running or ended within the answer window.
    pub max_records: usize,
    /// Maximum number of such calls of one organisation.
    pub max_records_per_organisation: usize,
    /// Maximum number of voided calls with an entry of their own. Beyond it, the oldest are merged
    /// into a floor that voids every call without a record up to a timestamp.
    pub max_voids: usize,
    /// Maximum size of all stored answers.
    pub max_answer_bytes: u64,
    /// Maximum size of the stored answers of one organisation.
    pub max_answer_bytes_per_organisation: u64,
    /// How long a placement is accepted and how long an answer is stored, in milliseconds.
    pub answer_window_ms: u64,
    /// How long a digest of a call is kept after its answer has expired, in milliseconds.
    pub digest_horizon_ms: u64,
    /// Maximum number of digests.
    pub max_digests: usize,
    /// Retry delay that refused callers are advised, in milliseconds.
    pub retry_after_ms: u64,
}
