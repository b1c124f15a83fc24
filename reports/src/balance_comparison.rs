//! Comparison of ways to place experts on one drifting load.

use pomeloramp_lib::ExpertLayout;
use pomeloramp_lib::ExpertLoad;
use pomeloramp_lib::skew_lower_bound;

use crate::balance_method::BalanceMethod;
use crate::balance_method::INTERVAL_S;
use crate::balance_method::RANKS;
use crate::balance_series::BalanceSeries;
use crate::drifting_load::Drift;
use crate::drifting_load::DriftingLoad;
use crate::drifting_load::INTERVALS;
use crate::figures::mean;

/// Settings of a comparison.
#[derive(Debug, Clone, bon::Builder)]
pub struct BalanceComparison {
    /// How the load changes.
    pub drift: Drift,
    /// Slots for experts of each rank and layer.
    pub slots_per_rank: u32,
    /// Number of layers.
    pub layers: usize,
    /// Seed of the load.
    pub seed: u64,
}

/// What came of all methods on the same load.
#[derive(Debug, Clone)]
pub struct BalanceResult {
    /// Skew that no layout can beat, of each interval.
    pub bounds: Vec<f64>,
    /// What came of each method.
    pub methods: Vec<BalanceSeries>,
}

impl BalanceResult {
    /// Returns the bound averaged over the intervals.
    #[must_use]
    pub fn mean_bound(&self) -> f64 {
        mean(&self.bounds)
    }
}

impl BalanceComparison {
    /// Runs all methods; each layout is judged by the load of the interval after the one that it
    /// was planned from.
    #[must_use]
    pub fn run(&self) -> BalanceResult {
        let mut loads = DriftingLoad::new(self.drift, self.seed, self.layers);
        let slots = self.slots_per_rank as usize;
        let layout = ExpertLayout::packed(&loads.load(0), RANKS as usize, slots);
        let mut methods = [
            BalanceMethod::keep(&layout),
            BalanceMethod::recompute(&layout),
            BalanceMethod::plan("planner-skew", 1.0, 0.3, &layout),
            BalanceMethod::plan("planner-moves", 1.0, 20.0, &layout),
        ];
        let mut bounds = Vec::new();
        for interval in 1..=INTERVALS {
            let load = loads.load(interval);
            bounds.push(self.bound(&load));
            let now_ms = u64::from(interval * INTERVAL_S) * 1_000;
            for method in &mut methods {
                method.observe(&load, now_ms);
            }
        }
        BalanceResult {
            bounds,
            methods: methods.map(BalanceMethod::into_series).into(),
        }
    }

    /// Returns the skew that no layout can beat, averaged over the layers.
    fn bound(&self, load: &ExpertLoad) -> f64 {
        let layers = load.layers().iter();
        let bounds = layers.map(|loads| skew_lower_bound(loads, RANKS, self.slots_per_rank));
        mean(&bounds.collect::<Vec<f64>>())
    }
}
