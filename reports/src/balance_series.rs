//! What came of one way to place experts.

use std::time::Duration;

use crate::balance_method::EXPERT_BYTES;
use crate::figures::mean;

/// What came of one way to place experts, interval by interval.
#[derive(Debug, Clone)]
pub struct BalanceSeries {
    /// Name of the method.
    pub method: &'static str,
    /// Highest rank load over the mean, averaged over the layers, of each interval.
    pub skews: Vec<f64>,
    /// Replicas loaded after each interval.
    pub moves: Vec<usize>,
    /// Number of new layouts.
    pub plans: u32,
    /// Time that it took to make each layout, on the machine of the run.
    pub planner_times: Vec<Duration>,
}

impl BalanceSeries {
    pub(crate) fn new(method: &'static str) -> Self {
        Self {
            method,
            skews: Vec::new(),
            moves: Vec::new(),
            plans: 0,
            planner_times: Vec::new(),
        }
    }

    /// Returns the skew averaged over the intervals.
    #[must_use]
    pub fn mean_skew(&self) -> f64 {
        mean(&self.skews)
    }

    /// Returns the skew that 1 in 100 intervals exceeds.
    #[must_use]
    pub fn p99_skew(&self) -> f64 {
        let mut sorted = self.skews.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(1.0)
    }

    /// Returns the replicas loaded over the run.
    #[must_use]
    pub fn total_moves(&self) -> usize {
        self.moves.iter().sum()
    }

    /// Returns the bytes loaded over the run, in whole gigabytes.
    #[must_use]
    pub fn total_gigabytes(&self) -> u64 {
        self.total_moves() as u64 * EXPERT_BYTES / 1_000_000_000
    }

    /// Returns the mean time for one layout, in milliseconds.
    #[must_use]
    pub fn mean_planner_ms(&self) -> f64 {
        let times_ms = self.planner_times.iter();
        let times_ms: Vec<f64> = times_ms.map(|time| time.as_secs_f64() * 1e3).collect();
        mean(&times_ms)
    }

    /// Returns the longest time for one layout, in milliseconds.
    #[must_use]
    pub fn slowest_planner_ms(&self) -> f64 {
        let slowest = self.planner_times.iter().max();
        slowest.map_or(0.0, |time| time.as_secs_f64() * 1e3)
    }
}
