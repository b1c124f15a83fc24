//! Limits on a plan of [`ExpertPlanner`](crate::ExpertPlanner).

/// Limits on the gain and the moves of one plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanLimits {
    /// Time in seconds until the load has drifted away from the one planned for, extrapolated from
    /// the observed drift.
    pub drift_horizon_s: f64,
    /// Bytes of weights that the group may load now.
    pub available_bytes: u64,
}
