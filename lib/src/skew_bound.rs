//! Lower bound of the skew of any layout.

/// Returns a lower bound of the skew (highest rank load divided by the mean) for one layer.
///
/// The replicas of an expert share its load evenly, so if no rank's load exceeds `x`, no replica's
/// does: each expert needs at least `ceil(load / x)` replicas, and all of them have to fit into the
/// slots. The bound is the lowest such `x` divided by the mean, and at least 1. No layout may reach
/// it.
#[must_use]
pub fn skew_lower_bound(expert_loads: &[f64], rank_count: u32, slots_per_rank: u32) -> f64 {
    const BISECTION_STEPS: usize = 50;
    let total: f64 = expert_loads.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    let mean = total / f64::from(rank_count);
    let slot_count = f64::from(rank_count * slots_per_rank);
    let fits = |highest: f64| {
        let replicas = expert_loads.iter().map(|load| (load / highest).ceil());
        replicas.sum::<f64>() <= slot_count
    };
    let mut low = mean;
    let mut high = total;
    if fits(low) {
        return 1.0;
    }
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low / mean
}
