//! Demand for the experts of a rank group: the recent choices, and jumps in them.

use crate::ExpertLoad;
use crate::as_f64::as_f64;

/// Half-life of the weight of past choices in the demand.
const DEMAND_HALF_LIFE_MS: f64 = 350.0;
/// Share of the choices that has to move to other experts for a change in demand to count as a jump
/// and not as drift.
const JUMP_SHARE: f64 = 0.25;
/// Size of the sample that a check for a jump needs, as a share of the demand.
const MIN_JUMP_SAMPLE_SHARE: f64 = 0.06;
/// Time between two checks for a jump in demand.
const JUMP_INTERVAL_MS: u64 = 60;
/// Number of choices that a plan or a check for a jump needs, per expert and set.
const MIN_CHOICES_PER_EXPERT: f64 = 8.0;

/// Demand for the experts of a rank group.
///
/// Past choices count less and less, and those from before a jump not at all.
#[derive(Debug)]
pub(crate) struct ExpertDemand {
    experts_per_set: usize,
    /// Choices of each expert, set by set, decayed with time.
    choices: Vec<f64>,
    updated_ms: u64,
    /// Choices of each expert since the last check for a jump, and the time of that check.
    sample: Vec<f64>,
    sample_since_ms: u64,
    /// Time at which the sample of the last check was begun.
    checked_since_ms: u64,
}

impl ExpertDemand {
    /// Creates the demand for `set_count` sets without any choices.
    pub(crate) fn new(set_count: usize, experts_per_set: usize) -> Self {
        let count = set_count * experts_per_set;
        Self {
            experts_per_set: experts_per_set.max(1),
            choices: vec![0.0; count],
            updated_ms: 0,
            sample: vec![0.0; count],
            sample_since_ms: 0,
            checked_since_ms: 0,
        }
    }

    /// Adds the choices of a rank since its last ones; returns whether demand has jumped.
    pub(crate) fn record(&mut self, choices: &[u32], now_ms: u64) -> bool {
        self.decay(now_ms);
        if choices.len() == self.choices.len() {
            let values = self.choices.iter_mut().zip(&mut self.sample);
            for ((total, sample), chosen) in values.zip(choices) {
                *total += f64::from(*chosen);
                *sample += f64::from(*chosen);
            }
        }
        self.check_for_jump(now_ms)
    }

    /// Reduces the weight of older choices.
    pub(crate) fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        if elapsed_ms == 0 {
            return;
        }
        self.updated_ms = now_ms;
        let factor = 0.5_f64.powf(as_f64(elapsed_ms) / DEMAND_HALF_LIFE_MS);
        for choices in &mut self.choices {
            *choices *= factor;
        }
    }

    /// Returns whether there are enough choices for a plan.
    pub(crate) fn is_known(&self) -> bool {
        self.choices.iter().sum::<f64>() >= self.min_choices()
    }

    /// Returns whether the last check for a jump rests on choices from after `since_ms` only.
    pub(crate) fn is_checked_since(&self, since_ms: u64) -> bool {
        self.checked_since_ms >= since_ms
    }

    /// Returns the demand as a load on the experts.
    pub(crate) fn load(&self) -> ExpertLoad {
        self.as_load(&self.choices)
    }

    /// Compares the sample with the demand once it is large enough, and discards the choices from
    /// before a jump; returns whether there was one.
    fn check_for_jump(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms.saturating_sub(self.sample_since_ms) >= JUMP_INTERVAL_MS;
        let sample_total: f64 = self.sample.iter().sum();
        let total: f64 = self.choices.iter().sum();
        if !is_due
            || sample_total < total * MIN_JUMP_SAMPLE_SHARE
            || sample_total < self.min_choices()
        {
            return false;
        }
        let is_jump = self.as_load(&self.sample).moved_share(&self.load()) > JUMP_SHARE;
        if is_jump {
            self.choices.copy_from_slice(&self.sample);
        }
        self.sample.fill(0.0);
        self.checked_since_ms = self.sample_since_ms;
        self.sample_since_ms = now_ms;
        is_jump
    }

    /// Returns the number of choices that a plan or a check for a jump needs.
    fn min_choices(&self) -> f64 {
        as_f64(self.choices.len()) * MIN_CHOICES_PER_EXPERT
    }

    fn as_load(&self, choices: &[f64]) -> ExpertLoad {
        let sets = choices.chunks(self.experts_per_set);
        ExpertLoad::new(sets.map(<[f64]>::to_vec).collect())
    }
}
