//! A plan of [`ExpertPlanner`](crate::ExpertPlanner).

use crate::ExpertLayout;

/// A layout proposed by the planner, with the estimate behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct RebalancePlan {
    /// The proposed layout.
    pub layout: ExpertLayout,
    /// Number of replicas that ranks have to load.
    pub moves: usize,
    /// Bytes of weights that ranks have to load.
    pub move_bytes: u64,
    /// Mean skew over the layers of the current layout, under the load planned for.
    pub skew_before: f64,
    /// Mean skew over the layers of the proposed layout, under the same load.
    pub skew_after: f64,
    /// Weighted gain over the planning horizon, in the template's units.
    pub gain: f64,
    /// Weighted cost of the moves, in the same units.
    pub cost: f64,
}
