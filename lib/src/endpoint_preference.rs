//! Which of several endpoints that take a call is best for it.

use std::cmp::Ordering;

/// How much an endpoint is preferred for a call; the least is chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointPreference {
    /// Whether the endpoint failed or turned calls away lately; it is chosen only when all are avoided.
    pub(crate) is_avoided: bool,
    pub(crate) cost: f64,
    /// Whether the endpoint is in another availability zone than the entry.
    pub(crate) is_remote: bool,
    /// Random number, for endpoints that are equal otherwise.
    pub(crate) tie: u32,
}

impl EndpointPreference {
    pub(crate) fn compare(&self, other: &Self) -> Ordering {
        let by_avoidance = self.is_avoided.cmp(&other.is_avoided);
        let by_cost = by_avoidance.then(self.cost.total_cmp(&other.cost));
        let by_zone = by_cost.then(self.is_remote.cmp(&other.is_remote));
        by_zone.then(self.tie.cmp(&other.tie))
    }
}
