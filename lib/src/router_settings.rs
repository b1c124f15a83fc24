//! Settings of the routing decision.

use bon::Builder;

/// Urgency of the most urgent requests.
pub const MAX_URGENCY: u32 = 9;

/// Settings of the routing decision.
#[derive(Debug, Clone, Builder)]
pub struct RouterSettings {
    /// Endpoints of the local availability zone that are compared for one request.
    #[builder(default = 2)]
    pub local_samples: usize,
    /// Endpoints of other availability zones that are compared for one request.
    #[builder(default = 1)]
    pub remote_samples: usize,
    /// Endpoints with a cached prefix that are compared for one request.
    #[builder(default = 3)]
    pub cached_samples: usize,
    /// Part of a prompt that its prefix's home is expected to hold when nothing is known, in percent.
    #[builder(default = 75)]
    pub home_cached_percent: u64,
    /// Cost of prefill, in percent of its time: it delays later requests as well.
    #[builder(default = 300)]
    pub prefill_cost_percent: u64,
    /// Predicted gain below which a request stays in the local availability zone.
    #[builder(default = 50)]
    pub zone_margin_ms: u64,
    /// Load of one endpoint at most, in percent of the mean over all open ones.
    #[builder(default = 150)]
    pub load_bound_percent: u64,
    /// Age of the facts in a load report when it arrives.
    #[builder(default = 200)]
    pub report_lag_ms: u64,
    /// Prefill speed of an endpoint that has reported none.
    #[builder(default = 10_000)]
    pub default_prefill_tokens_per_s: u64,
    /// Requests run at once by an endpoint that has reported no capacity.
    #[builder(default = 16)]
    pub default_capacity: u32,
    /// Time for which a request occupies an endpoint's slot, until some have finished.
    #[builder(default = 1_000)]
    pub default_occupancy_ms: u64,
    /// Queue that the least urgent request is taken to wait for, in percent of the whole.
    #[builder(default = 150)]
    pub least_urgent_queue_percent: u64,
    /// Queue that the most urgent request is taken to wait for, in percent of the whole.
    #[builder(default = 50)]
    pub most_urgent_queue_percent: u64,
    /// Shortest time after which a refused caller may try again.
    #[builder(default = 200)]
    pub min_retry_after_ms: u64,
    /// Longest time after which a refused caller may try again.
    #[builder(default = 30_000)]
    pub max_retry_after_ms: u64,
}

impl RouterSettings {
    /// Returns the part of a queue that a request waits for, in percent of the whole.
    pub(crate) fn queue_percent(&self, urgency: u32) -> u64 {
        let urgency = u64::from(urgency.min(MAX_URGENCY));
        let max_urgency = u64::from(MAX_URGENCY);
        let least = self.least_urgent_queue_percent * (max_urgency - urgency);
        let most = self.most_urgent_queue_percent * urgency;
        (least + most) / max_urgency
    }
}
