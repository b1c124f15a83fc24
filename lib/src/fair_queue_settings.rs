//! Settings of the queue in front of one endpoint.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// Settings of a [`FairQueue`](crate::FairQueue).
#[value]
#[derive(Builder)]
pub struct FairQueueSettings {
    /// Slots: requests that the endpoint runs at once.
    pub capacity: u32,
    /// Maximum number of queued requests over all organisations.
    pub max_queued_requests: u32,
    /// Head start that each level of urgency gives an organisation in the queue.
    #[builder(default = 100)]
    pub urgency_step_ms: u64,
    /// Longest time without demand for which an organisation gets its unused share back when its
    /// demand returns.
    #[builder(default = 10_000)]
    pub share_credit_ms: u64,
    /// Minimum of the retry delay in refusals.
    #[builder(default = 100)]
    pub min_retry_after_ms: u64,
    /// Maximum of the retry delay in refusals.
    #[builder(default = 30_000)]
    pub max_retry_after_ms: u64,
}
