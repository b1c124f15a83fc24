//! Settings of the router.

use bon::Builder;

/// Urgency of the most urgent requests; the least urgent ones have zero.
pub const MAX_URGENCY: u32 = 9;

/// Settings of a [`Router`](crate::Router).
#[derive(Debug, Clone, Builder)]
pub struct RouterSettings {
    /// Number of random endpoints of the local availability zone that are compared for a request.
    #[builder(default = 2)]
    pub local_samples: usize,
    /// Number of random endpoints of other availability zones that are compared for a request.
    #[builder(default = 1)]
    pub remote_samples: usize,
    /// Number of endpoints with a cached prefix that are compared for a request.
    #[builder(default = 3)]
    pub cached_samples: usize,
    /// Part of a prompt that its home endpoint is expected to cache when the index has no prefix
    /// there, in percent.
    #[builder(default = 75)]
    pub home_cached_percent: u64,
    /// Cost of prefill in percent of its time; more than 100, since prefill delays later requests
    /// as well.
    #[builder(default = 300)]
    pub prefill_cost_percent: u64,
    /// Predicted gain below which a request stays in the local availability zone.
    #[builder(default = 50)]
    pub zone_margin_ms: u64,
    /// Load bound of an endpoint, in percent of the mean over all open endpoints.
    #[builder(default = 150)]
    pub load_bound_percent: u64,
    /// Age of a load report when it arrives.
    #[builder(default = 200)]
    pub report_lag_ms: u64,
    /// Prefill speed of an endpoint that has not reported one.
    #[builder(default = 10_000)]
    pub default_prefill_tokens_per_s: u64,
    /// Capacity of an endpoint that has not reported one.
    #[builder(default = 16)]
    pub default_capacity: u32,
    /// Initial estimate of the time for which a request occupies a slot of an endpoint.
    #[builder(default = 1_000)]
    pub default_occupancy_ms: u64,
    /// Queue that is assumed to be ahead of the least urgent request, in percent of the whole.
    #[builder(default = 150)]
    pub least_urgent_queue_percent: u64,
    /// Queue that is assumed to be ahead of the most urgent request, in percent of the whole.
    #[builder(default = 50)]
    pub most_urgent_queue_percent: u64,
    /// Minimum of the retry delay in refusals.
    #[builder(default = 200)]
    pub min_retry_after_ms: u64,
    /// Maximum of the retry delay in refusals.
    #[builder(default = 30_000)]
    pub max_retry_after_ms: u64,
}

impl RouterSettings {
    /// Returns the queue that is assumed to be ahead of a request, in percent of the whole.
    pub(crate) fn queue_percent(&self, urgency: u32) -> u64 {
        let urgency = u64::from(urgency.min(MAX_URGENCY));
        let max_urgency = u64::from(MAX_URGENCY);
        let least_urgent_part = self.least_urgent_queue_percent * (max_urgency - urgency);
        let most_urgent_part = self.most_urgent_queue_percent * urgency;
        (least_urgent_part + most_urgent_part) / max_urgency
    }
}
