//! Smoothed expert load and the speed at which it drifts.

use crate::ExpertLoad;

/// The share of the load that may move before a plan made for it has lost its worth.
const STALE_SHARE: f64 = 0.10;

/// The share of the load whose move between two samples counts as a jump.
const JUMP_SHARE: f64 = 0.10;

/// Smooths samples of expert load and estimates for how long a plan will fit.
#[derive(Debug)]
pub struct LoadTracker {
    smoothing_s: f64,
    recent: Option<ExpertLoad>,
    /// The smoothed load with a time constant of `REFERENCE_FACTOR` times that of `recent`.
    reference: Option<ExpertLoad>,
}

/// How much slower the reference follows the samples than the recent load does.
const REFERENCE_FACTOR: f64 = 4.0;

impl LoadTracker {
    /// Creates a tracker whose smoothed load follows the samples with this time constant.
    #[must_use]
    pub fn new(smoothing_s: f64) -> Self {
        Self {
            smoothing_s,
            recent: None,
            reference: None,
        }
    }

    /// Takes in the load measured over the last `interval_s` seconds.
    ///
    /// A jump is no trend: the smoothed loads then begin anew.
    pub fn observe(&mut self, sample: &ExpertLoad, interval_s: f64) {
        let jump = self
            .recent
            .as_ref()
            .map(|recent| sample.moved_share(recent));
        if jump.is_some_and(|share| share > JUMP_SHARE) {
            self.recent = None;
            self.reference = None;
        }
        let recent = self.recent.get_or_insert_with(|| sample.clone());
        recent.blend(sample, blend_weight(interval_s, self.smoothing_s));
        let reference = self.reference.get_or_insert_with(|| sample.clone());
        let reference_s = self.smoothing_s * REFERENCE_FACTOR;
        reference.blend(sample, blend_weight(interval_s, reference_s));
    }

    /// Returns the smoothed load, once there was a sample.
    #[must_use]
    pub fn load(&self) -> Option<&ExpertLoad> {
        self.recent.as_ref()
    }

    /// Returns the load to expect when the trend goes on for `lead_s` seconds after the last
    /// sample, once there was a sample.
    #[must_use]
    pub fn forecast(&self, lead_s: f64) -> Option<ExpertLoad> {
        let (recent, reference) = (self.recent.as_ref()?, self.reference.as_ref()?);
        let lag_s = self.smoothing_s * (REFERENCE_FACTOR - 1.0);
        let weight = (self.smoothing_s + lead_s) / lag_s;
        Some(recent.extrapolated(reference, weight))
    }

    /// Returns the seconds in which the load drifts so far that a plan no longer fits it.
    ///
    /// A load that drifts steadily lags behind in each smoothed load by its time constant, so
    /// that the two differ by what drifts in the difference of the constants.
    #[must_use]
    pub fn drift_horizon_s(&self) -> f64 {
        let (Some(recent), Some(reference)) = (&self.recent, &self.reference) else {
            return 0.0;
        };
        let lag_s = self.smoothing_s * (REFERENCE_FACTOR - 1.0);
        let drift_per_s = recent.moved_share(reference) / lag_s;
        if drift_per_s > 0.0 {
            STALE_SHARE / drift_per_s
        } else {
            f64::INFINITY
        }
    }
}

fn blend_weight(interval_s: f64, time_constant_s: f64) -> f64 {
    1.0 - (-interval_s / time_constant_s).exp()
}
