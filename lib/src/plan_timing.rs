//! Weighs the gain of a new expert map against the time until the ranks use it.
//!
//! Where demand jumps every few seconds, a plan that copies many experts comes into force when the
//! demand has nearly moved on, and delays the plan for the next jump.

use crate::ExpertModel;
use crate::as_f64::as_f64;

/// Assumed time that a plan takes besides copying, until one has been observed.
const INITIAL_OVERHEAD_MS: f64 = 150.0;
/// Weight of a new observation in a moving average.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Longest time for which demand is expected to stay as it is.
const MAX_HORIZON_MS: f64 = 10_000.0;
/// Share by which forward passes take longer while experts are copied.
const COPY_SLOWDOWN: f64 = 0.15;

/// Estimates how long a plan takes and for how long it will be of use, from what was observed.
#[derive(Debug)]
pub(crate) struct PlanTiming {
    /// Time to copy one expert to a rank.
    copy_ms: f64,
    /// Share of the work per token that is done by the experts.
    work_share: f64,
    /// Moving average of the time that plans take besides copying.
    overhead_ms: f64,
    last_jump_ms: Option<u64>,
    /// Moving average of the time between two jumps in demand.
    jump_interval_ms: Option<f64>,
}

impl PlanTiming {
    pub(crate) fn new(model: &ExpertModel) -> Self {
        let link_mbit_per_ms = model.link_mbit_per_s / 1e3;
        let copy_ms = if link_mbit_per_ms > 0.0 {
            model.expert_mb * 8.0 / link_mbit_per_ms
        } else {
            0.0
        };
        Self {
            copy_ms,
            work_share: model.work_share,
            overhead_ms: INITIAL_OVERHEAD_MS,
            last_jump_ms: None,
            jump_interval_ms: None,
        }
    }

    /// Records that a plan with `new_per_rank` experts to copy was in use after `elapsed_ms`.
    pub(crate) fn observe_plan(&mut self, new_per_rank: usize, elapsed_ms: u64) {
        let overhead_ms = (as_f64(elapsed_ms) - self.copying_ms(new_per_rank)).max(0.0);
        self.overhead_ms += SAMPLE_WEIGHT * (overhead_ms - self.overhead_ms);
    }

    /// Records a jump in demand. One that is found before a plan could follow the last one counts as
    /// the same.
    pub(crate) fn observe_jump(&mut self, now_ms: u64) {
        let plan_ms = self.overhead_ms + self.copying_ms(1);
        let since_jump = |last_jump_ms: u64| as_f64(now_ms.saturating_sub(last_jump_ms));
        if self
            .last_jump_ms
            .is_some_and(|last| since_jump(last) < plan_ms)
        {
            return;
        }
        if let Some(last_jump_ms) = self.last_jump_ms.replace(now_ms) {
            let interval_ms = since_jump(last_jump_ms);
            let mean_ms = self.jump_interval_ms.get_or_insert(interval_ms);
            *mean_ms += SAMPLE_WEIGHT * (interval_ms - *mean_ms);
        }
    }

    /// Returns by how much a plan lowers the skew for each millisecond until it is in use.
    pub(crate) fn gain_rate(&self, skew_gain: f64, new_per_rank: usize) -> f64 {
        skew_gain / (self.overhead_ms + self.copying_ms(new_per_rank))
    }

    /// Returns whether a plan saves more time of forward passes, from its use to the next expected
    /// jump in demand, than its copying costs.
    pub(crate) fn is_worthwhile(
        &self,
        skew_before: f64,
        skew_after: f64,
        new_per_rank: usize,
        now_ms: u64,
    ) -> bool {
        let pass_share = |skew: f64| 1.0 - self.work_share + self.work_share * skew;
        let saved_share = 1.0 - pass_share(skew_after) / pass_share(skew_before);
        let copying_ms = self.copying_ms(new_per_rank);
        let use_ms = (self.horizon_ms(now_ms) - self.overhead_ms - copying_ms).max(0.0);
        saved_share * use_ms > COPY_SLOWDOWN * copying_ms
    }

    /// Returns the expected time until demand jumps next.
    fn horizon_ms(&self, now_ms: u64) -> f64 {
        let (Some(last_jump_ms), Some(interval_ms)) = (self.last_jump_ms, self.jump_interval_ms)
        else {
            return MAX_HORIZON_MS;
        };
        let since_jump_ms = as_f64(now_ms.saturating_sub(last_jump_ms));
        let left_ms = if since_jump_ms < interval_ms {
            interval_ms - since_jump_ms
        } else {
            interval_ms
        };
        left_ms.min(MAX_HORIZON_MS)
    }

    fn copying_ms(&self, new_per_rank: usize) -> f64 {
        self.copy_ms * as_f64(new_per_rank)
    }
}
