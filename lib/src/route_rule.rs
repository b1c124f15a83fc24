//! One route of a route table.

use bon::Builder;
use pomeloramp_proc_macros::value;

use crate::Repeatability;

/// A service that a route sends calls to, with its share of the calls.
#[value]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// One route: the calls that match it, their target services and their limits.
#[value]
#[derive(Builder)]
pub struct RouteRule {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name of the route, in lower case.
    pub host: String,
    /// Path prefix of the route; starts and ends with a slash.
    pub prefix: String,
    /// Services that serve the route; never empty.
    pub targets: Vec<RouteTarget>,
    /// How often a call may run.
    pub repeatability: Repeatability,
    /// Time within which a call must have its final answer.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency_ms: u64,
    /// Longest pause between events of a stream that is on time; zero when none is set.
    #[builder(default)]
    pub target_gap_ms: u64,
    /// Most endpoints that one call may be sent to.
    pub max_attempts: u32,
    /// 0 is the least urgent, [`MAX_URGENCY`](crate::MAX_URGENCY) the most.
    pub urgency: u32,
    /// Whether calls need no credential.
    #[builder(default)]
    pub is_public: bool,
}

impl RouteRule {
    /// Returns the target service for `draw`, a uniformly distributed 32-bit random number.
    #[must_use]
    pub fn target(&self, draw: u32) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let point = (u64::from(draw) * total) >> u32::BITS;
        let mut cumulative_weight = 0;
        let target = self.targets.iter().find(|target| {
            cumulative_weight += u64::from(target.weight);
            point < cumulative_weight
        });
        target
            .or_else(|| self.targets.first())
            .map(|target| target.service.as_str())
    }
}
