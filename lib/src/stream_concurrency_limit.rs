//! Limits the concurrent requests per endpoint so that the pauses between stream events stay short.
//!
//! In a rank group with load imbalance between experts, passes take longer than their model says,
//! and each further request delays all of them.

use crate::EngineModel;

/// Assumed slowdown of passes until the first pause is observed.
const INITIAL_SLOWDOWN: f64 = 1.6;
const MIN_SLOWDOWN: f64 = 0.5;
const MAX_SLOWDOWN: f64 = 6.0;
/// Weight of a new sample in the estimate, per pause that the sample averages.
const SAMPLE_WEIGHT: f64 = 0.03;
const MAX_SAMPLE_WEIGHT: f64 = 0.5;
/// Share of the longest allowed pause that a pass should take.
const TARGET_PAUSE_SHARE: f64 = 0.85;
/// Longest pause where a route sets none.
const DEFAULT_PAUSE_MS: f64 = 100.0;
const MIN_SLOTS: f64 = 1.0;

/// Limits the concurrent requests per endpoint by an estimate of how much longer passes take than
/// their model says.
///
/// The estimate is a moving average over the observed pauses between stream events.
#[derive(Debug)]
pub struct StreamConcurrencyLimit {
    model: EngineModel,
    target_pause_ms: f64,
    slowdown: f64,
}

impl StreamConcurrencyLimit {
    /// Creates the limit of an engine without observed pauses.
    #[must_use]
    pub fn new(model: EngineModel) -> Self {
        Self {
            model,
            target_pause_ms: DEFAULT_PAUSE_MS,
            slowdown: INITIAL_SLOWDOWN,
        }
    }

    /// Replaces the model and keeps the estimate.
    pub fn set_model(&mut self, model: EngineModel) {
        self.model = model;
    }

    /// Sets the longest pause of a stream that is on time; zero keeps the current one.
    pub fn set_target_pause_ms(&mut self, target_pause_ms: u64) {
        if target_pause_ms > 0 {
            let target_ms = u32::try_from(target_pause_ms).unwrap_or(u32::MAX);
            self.target_pause_ms = f64::from(target_ms);
        }
    }

    /// Updates the estimate with the mean of `count` pauses, observed while each endpoint ran
    /// `requests` requests.
    pub fn observe(&mut self, mean_pause_ms: f64, count: u32, requests: f64) {
        let modelled_ms = self.model.pass_ms(requests.max(1.0));
        let sample = (mean_pause_ms / modelled_ms).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        let weight = (SAMPLE_WEIGHT * f64::from(count)).min(MAX_SAMPLE_WEIGHT);
        self.slowdown += weight * (sample - self.slowdown);
    }

    /// Returns the time of passes as a multiple of the time that their model says.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns how many requests each endpoint may run at once.
    #[must_use]
    pub fn slots_per_endpoint(&self) -> f64 {
        let target_ms = self.target_pause_ms * TARGET_PAUSE_SHARE;
        let slots = self.model.max_requests_for_pass(target_ms, self.slowdown);
        slots.clamp(MIN_SLOTS, f64::from(self.model.slots.max(1)))
    }
}
