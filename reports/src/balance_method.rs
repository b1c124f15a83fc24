//! Ways to place experts.

use std::time::Duration;
use std::time::Instant;

use pomeloramp_lib::ExpertLayout;
use pomeloramp_lib::ExpertLoad;
use pomeloramp_lib::ExpertPlanner;
use pomeloramp_lib::LayerLayout;
use pomeloramp_lib::LoadTracker;
use pomeloramp_lib::PlanLimits;
use pomeloramp_lib::WeightRateLimiter;
use pomeloramp_lib::protos::template::RebalanceParameters;

use crate::balance_series::BalanceSeries;

/// Number of ranks of the group.
pub const RANKS: u32 = 64;
/// Seconds from one plan to the next.
pub const INTERVAL_S: u32 = 60;
const SMOOTHING_S: f64 = 60.0;
/// Bytes of one expert of one layer.
pub const EXPERT_BYTES: u64 = 44_000_000;
const SHARE_BYTES_PER_S: u64 = 500_000_000;
const BURST_BYTES: u64 = 60 * SHARE_BYTES_PER_S;

/// What is done after each interval.
enum Method {
    Static,
    Recompute,
    Plan {
        planner: ExpertPlanner,
        limiter: WeightRateLimiter,
    },
}

/// One way to place experts, with what came of it so far.
pub(crate) struct BalanceMethod {
    method: Method,
    layout: ExpertLayout,
    tracker: LoadTracker,
    series: BalanceSeries,
}

impl BalanceMethod {
    /// Keeps the first layout.
    pub(crate) fn keep(layout: &ExpertLayout) -> Self {
        Self::new("static", Method::Static, layout)
    }

    /// Packs every layer anew after each interval.
    pub(crate) fn recompute(layout: &ExpertLayout) -> Self {
        Self::new("recompute", Method::Recompute, layout)
    }

    /// Follows the planner, held to the group's share of the weight store's rate.
    pub(crate) fn plan(
        name: &'static str,
        skew_weight: f64,
        move_weight: f64,
        layout: &ExpertLayout,
    ) -> Self {
        let slots_per_rank = layout
            .layers()
            .first()
            .map_or(1, LayerLayout::slots_per_rank);
        let parameters = RebalanceParameters {
            skew_weight,
            move_weight,
            horizon_s: 1_800,
            redundant_experts_per_rank: u32::try_from(slots_per_rank - 1).unwrap_or(0),
            max_moves_per_plan: 2_000,
        };
        let method = Method::Plan {
            planner: ExpertPlanner::builder()
                .parameters(parameters)
                .expert_bytes(EXPERT_BYTES)
                .share_bytes_per_s(SHARE_BYTES_PER_S)
                .build(),
            limiter: WeightRateLimiter::builder()
                .share_bytes_per_s(SHARE_BYTES_PER_S)
                .burst_bytes(BURST_BYTES)
                .now_ms(0)
                .build(),
        };
        Self::new(name, method, layout)
    }

    fn new(name: &'static str, method: Method, layout: &ExpertLayout) -> Self {
        Self {
            method,
            layout: layout.clone(),
            tracker: LoadTracker::new(SMOOTHING_S),
            series: BalanceSeries::new(name),
        }
    }

    /// Judges the layout in force by the load of an interval, then makes the next.
    pub(crate) fn observe(&mut self, load: &ExpertLoad, now_ms: u64) {
        let skew = self.layout.skew(load);
        self.tracker.observe(load, f64::from(INTERVAL_S));
        let began = Instant::now();
        let next = self.next(load, now_ms);
        let planner_time = began.elapsed();
        let moves = self.put_in_force(next);
        self.note(skew, moves, planner_time);
    }

    /// Returns what came of it.
    pub(crate) fn into_series(self) -> BalanceSeries {
        self.series
    }

    fn put_in_force(&mut self, next: Option<ExpertLayout>) -> Option<usize> {
        let next = next?;
        let moves = next.moves_from(&self.layout);
        self.layout = next;
        Some(moves)
    }

    fn note(&mut self, skew: f64, moves: Option<usize>, planner_time: Duration) {
        self.series.skews.push(skew);
        self.series.moves.push(moves.unwrap_or(0));
        self.series.plans += u32::from(moves.is_some());
        self.series.planner_times.push(planner_time);
    }

    fn next(&mut self, load: &ExpertLoad, now_ms: u64) -> Option<ExpertLayout> {
        match &mut self.method {
            Method::Static => None,
            Method::Recompute => {
                let slots_per_rank = self.layout.layers().first()?.slots_per_rank();
                Some(ExpertLayout::packed(load, RANKS as usize, slots_per_rank))
            }
            Method::Plan { planner, limiter } => {
                let limits = PlanLimits {
                    drift_horizon_s: self.tracker.drift_horizon_s(),
                    available_bytes: limiter.available_bytes(now_ms),
                };
                let load = self.tracker.forecast(f64::from(INTERVAL_S))?;
                let plan = planner.plan(&self.layout, &load, limits)?;
                assert!(
                    limiter.take(plan.move_bytes, now_ms),
                    "a plan exceeds its limit"
                );
                Some(plan.layout)
            }
        }
    }
}
