//! Bounds of the queue in front of one endpoint.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Bounds of the queue in front of one endpoint.
#[value]
#[derive(Builder)]
pub struct FairQueueSettings {
    /// Requests that the endpoint runs at once.
    pub capacity: u32,
    /// Requests that wait at once, over all organisations.
    pub max_queued_requests: u32,
    /// Head start in the queue that one level of urgency gives.
    #[builder(default = 100)]
    pub urgency_step_ms: u64,
    /// Time of which an organisation without demand keeps its unused share, to be made up for when
    /// its demand returns.
    #[builder(default = 10_000)]
    pub share_credit_ms: u64,
    /// Shortest time to come back that a refusal names.
    #[builder(default = 100)]
    pub min_retry_after_ms: u64,
    /// Longest time to come back that a refusal names.
    #[builder(default = 30_000)]
    pub max_retry_after_ms: u64,
}
