//! Smoothing and extrapolation of expert load.

use crate::ExpertLoad;

/// Share of the load that may shift between experts before a plan for the load is out of date.
const STALE_SHARE: f64 = 0.10;

/// Share of the load whose shift between a sample and the smoothed load counts as a jump.
const JUMP_SHARE: f64 = 0.10;

/// Smooths samples of expert load, extrapolates the trend, and estimates how long a plan stays
/// suitable.
#[derive(Debug)]
pub struct LoadTracker {
    smoothing_s: f64,
    /// Load smoothed with the time constant `smoothing_s`.
    recent: Option<ExpertLoad>,
    /// Load smoothed with `REFERENCE_FACTOR` times the time constant of `recent`.
    reference: Option<ExpertLoad>,
}

/// Time constant of the reference load in multiples of that of the recent load.
const REFERENCE_FACTOR: f64 = 4.0;

impl LoadTracker {
    /// Creates a tracker that smooths samples exponentially with the time constant `smoothing_s`.
    #[must_use]
    pub fn new(smoothing_s: f64) -> Self {
        Self {
            smoothing_s,
            recent: None,
            reference: None,
        }
    }

    /// Adds the load measured over the last `interval_s` seconds.
    ///
    /// A jump is not a trend, so the smoothed loads restart from the sample.
    pub fn observe(&mut self, sample: &ExpertLoad, interval_s: f64) {
        let shifted_share = self
            .recent
            .as_ref()
            .map(|recent| sample.moved_share(recent));
        if shifted_share.is_some_and(|share| share > JUMP_SHARE) {
            self.recent = None;
            self.reference = None;
        }
        let recent = self.recent.get_or_insert_with(|| sample.clone());
        recent.blend(sample, blend_weight(interval_s, self.smoothing_s));
        let reference = self.reference.get_or_insert_with(|| sample.clone());
        let reference_s = self.smoothing_s * REFERENCE_FACTOR;
        reference.blend(sample, blend_weight(interval_s, reference_s));
    }

    /// Returns the smoothed load, or `None` before the first sample.
    #[must_use]
    pub fn load(&self) -> Option<&ExpertLoad> {
        self.recent.as_ref()
    }

    /// Returns the load expected `lead_s` seconds after the last sample if the trend continues, or
    /// `None` before the first sample.
    #[must_use]
    pub fn forecast(&self, lead_s: f64) -> Option<ExpertLoad> {
        let (recent, reference) = (self.recent.as_ref()?, self.reference.as_ref()?);
        let lag_s = self.smoothing_s * (REFERENCE_FACTOR - 1.0);
        let weight = (self.smoothing_s + lead_s) / lag_s;
        Some(recent.extrapolated(reference, weight))
    }

    /// Returns the seconds until the load has drifted so far that a plan for it is out of date;
    /// infinite for a load that does not drift, zero before the first sample.
    ///
    /// Each smoothed load lags behind a steady drift by its time constant, so that the two differ
    /// by the drift over the difference of the time constants.
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
