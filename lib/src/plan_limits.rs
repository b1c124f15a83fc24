//! Limits of one plan of the planner of expert maps.

/// What bounds one plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanLimits {
    /// Seconds for which the load will fit the plan, from the observed drift.
    pub drift_horizon_s: f64,
    /// Bytes that the group may load now.
    pub available_bytes: u64,
}
