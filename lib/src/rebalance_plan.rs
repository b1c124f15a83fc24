//! A decision of the planner of expert maps.

use crate::ExpertLayout;

/// What the planner proposes, with the estimate behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct RebalancePlan {
    /// The layout to go to.
    pub layout: ExpertLayout,
    /// Replicas that have to be loaded.
    pub moves: usize,
    /// Bytes that have to be loaded.
    pub move_bytes: u64,
    /// Mean skew over the layers of the present layout, under the load planned for.
    pub skew_before: f64,
    /// Mean skew over the layers of the proposed layout, under the same load.
    pub skew_after: f64,
    /// Weighed gain over the horizon, in the template's units.
    pub gain: f64,
    /// Weighed cost of the moves, in the same units.
    pub cost: f64,
}
