//! Time of the forward passes of a rank group, and how urgent a lower skew is because of it.

use crate::as_f64::as_f64;

/// Usual time of a forward pass, as a share of the longest pause that streams allow. If passes take
/// less, streams are on time in spite of more skew, and a plan has to reduce the skew by more.
const USUAL_PASS_SHARE: f64 = 0.5;
const MIN_SKEW_URGENCY: f64 = 0.15;
const MAX_SKEW_URGENCY: f64 = 1.5;
/// Factor by which the recent time and number of passes decay with each report of a rank.
const PASS_DECAY: f64 = 0.98;
/// Number of recent passes below which their mean time is unknown.
const MIN_RECENT_PASSES: f64 = 4.0;

/// Mean time of recent forward passes.
#[derive(Debug)]
pub(crate) struct PassTime {
    /// Longest pause between events of a stream that is on time; zero if there is no target.
    target_pause_ms: f64,
    /// Time and number of recent passes, summed over the ranks and decayed with each report.
    recent_ms: f64,
    recent_passes: f64,
}

impl PassTime {
    pub(crate) fn new(target_pause_ms: u64) -> Self {
        Self {
            target_pause_ms: as_f64(target_pause_ms),
            recent_ms: 0.0,
            recent_passes: 0.0,
        }
    }

    /// Records that a rank began `passes` passes in `elapsed_ms`.
    pub(crate) fn record(&mut self, elapsed_ms: u64, passes: u64) {
        self.recent_ms = self.recent_ms * PASS_DECAY + as_f64(elapsed_ms);
        self.recent_passes = self.recent_passes * PASS_DECAY + as_f64(passes);
    }

    /// Returns the mean time of recent passes; `None` if there were too few.
    pub(crate) fn mean_ms(&self) -> Option<f64> {
        (self.recent_passes >= MIN_RECENT_PASSES).then_some(self.recent_ms / self.recent_passes)
    }

    /// Returns how urgent a lower skew is: 1 if passes take the usual time, more if they take longer.
    pub(crate) fn skew_urgency(&self) -> f64 {
        let Some(mean_ms) = self.mean_ms().filter(|_| self.target_pause_ms > 0.0) else {
            return 1.0;
        };
        let share = mean_ms / (self.target_pause_ms * USUAL_PASS_SHARE);
        (share * share).clamp(MIN_SKEW_URGENCY, MAX_SKEW_URGENCY)
    }
}
