//! How long the calls of a service hold their slot.

use crate::EngineModel;

/// Assumed time until a call ends or an engine model is set, in milliseconds.
const INITIAL_MS: f64 = 300.0;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
const MS_PER_S: f64 = 1_000.0;

/// Moving average of the time for which a call holds its slot.
#[derive(Debug)]
pub(crate) struct HoldTime {
    mean_ms: f64,
    /// Whether the mean rests on ended calls; until then it is an assumption.
    has_sample: bool,
}

impl Default for HoldTime {
    fn default() -> Self {
        Self {
            mean_ms: INITIAL_MS,
            has_sample: false,
        }
    }
}

impl HoldTime {
    /// Takes the engine's usual time of an answer until a call has ended.
    pub(crate) fn assume(&mut self, model: &EngineModel) {
        if !self.has_sample {
            self.mean_ms = model.mean_answer_ms().max(INITIAL_MS);
        }
    }

    /// Records for how long a call held its slot, in milliseconds.
    pub(crate) fn record(&mut self, held_ms: f64) {
        self.has_sample = true;
        self.mean_ms += SAMPLE_WEIGHT * (held_ms - self.mean_ms);
    }

    /// Returns the mean, in milliseconds.
    pub(crate) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns how many slots are held at once by calls that come at this rate.
    pub(crate) fn slots_at(&self, calls_per_s: f64) -> f64 {
        calls_per_s * self.mean_ms / MS_PER_S
    }
}
