//! What skew no layout can beat.

/// Returns a lower bound of the highest rank load over the mean, for one layer.
///
/// The replicas of an expert share its load evenly, so that a rank with load `x` holds replicas
/// of at most `x`: the experts need `ceil(load / x)` replicas each, and no more than there are
/// slots. The bound is the lowest such `x` over the mean, at least 1; it may not be reachable.
#[must_use]
pub fn skew_lower_bound(expert_loads: &[f64], rank_count: u32, slots_per_rank: u32) -> f64 {
    const HALVINGS: usize = 50;
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
    for _ in 0..HALVINGS {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low / mean
}
