//! Computes the layout of one layer from scratch.

use crate::LayerLayout;
use crate::pair_packing::pack_pairs;

/// Replicates hot experts into the spare slots and packs all replicas by longest processing time:
/// the largest first, each on the least loaded rank with a free slot.
///
/// Experts are left out only if there are fewer slots than experts.
pub(crate) fn pack_layer(
    expert_loads: &[f64],
    rank_count: usize,
    slots_per_rank: usize,
) -> LayerLayout {
    let counts = replicate(expert_loads, rank_count, rank_count * slots_per_rank);
    let mut replicas: Vec<usize> = (0..expert_loads.len()).collect();
    let replica_load = |expert: usize| expert_loads[expert] / f64::from(counts[expert].max(1));
    replicas.sort_by(|a, b| replica_load(*b).total_cmp(&replica_load(*a)));
    let mut layout = LayerLayout::empty(rank_count, slots_per_rank);
    let mut rank_loads = vec![0.0; rank_count];
    for expert in replicas {
        for _ in 0..counts[expert] {
            let Some(slot) = least_loaded_slot(&layout, &rank_loads, expert) else {
                break;
            };
            layout.set(slot, Some(expert));
            rank_loads[layout.rank_of(slot)] += replica_load(expert);
        }
    }
    layout
}

/// Returns how many replicas each expert gets: one, and one more for each spare slot that goes to
/// the expert because it has the highest load per replica at that point.
fn replicate(expert_loads: &[f64], rank_count: usize, slot_count: usize) -> Vec<u32> {
    let max_replicas = u32::try_from(rank_count).unwrap_or(u32::MAX);
    let mut counts = vec![1_u32; expert_loads.len()];
    for _ in expert_loads.len()..slot_count {
        let experts = (0..expert_loads.len()).filter(|expert| counts[*expert] < max_replicas);
        let replica_load = |expert: usize| expert_loads[expert] / f64::from(counts[expert]);
        let hottest = experts.max_by(|a, b| replica_load(*a).total_cmp(&replica_load(*b)));
        let Some(hottest) = hottest else {
            break;
        };
        counts[hottest] += 1;
    }
    counts
}

fn least_loaded_slot(layout: &LayerLayout, rank_loads: &[f64], expert: usize) -> Option<usize> {
    let free_slot = |rank: usize| {
        let mut slots = layout.rank_slots(rank);
        slots.find(|slot| layout.slots()[*slot].is_none())
    };
    let ranks = (0..layout.rank_count()).filter(|rank| !layout.holds(*rank, expert));
    let ranks = ranks.filter(|rank| free_slot(*rank).is_some());
    let rank = ranks.min_by(|a, b| rank_loads[*a].total_cmp(&rank_loads[*b]))?;
    free_slot(rank)
}

/// Returns the layout of [`pack_in_pairs`] if it has a lower skew than that of [`pack_layer`], and
/// the latter otherwise.
fn pack_evenly(expert_loads: &[f64], rank_count: usize, slots_per_rank: usize) -> LayerLayout {
    let packed = pack_layer(expert_loads, rank_count, slots_per_rank);
    let paired = pack_in_pairs(expert_loads, rank_count, slots_per_rank);
    match paired {
        Some(paired) if paired.skew(expert_loads) < packed.skew(expert_loads) => paired,
        _ => packed,
    }
}

/// Packs pairs of replicas onto ranks with two slots.
///
/// Returns `None` for other numbers of slots, if the replicas do not fill all slots, or if an
/// expert would be paired with itself.
fn pack_in_pairs(
    expert_loads: &[f64],
    rank_count: usize,
    slots_per_rank: usize,
) -> Option<LayerLayout> {
    let counts = replicate(expert_loads, rank_count, rank_count * slots_per_rank);
    let replica_count: u32 = counts.iter().sum();
    if slots_per_rank != 2 || replica_count as usize != 2 * rank_count {
        return None;
    }
    let ranks = u32::try_from(rank_count).unwrap_or(u32::MAX);
    let pairs = pack_pairs(expert_loads, counts, ranks);
    let mut layout = LayerLayout::empty(rank_count, slots_per_rank);
    for (rank, [large, small]) in pairs.into_iter().enumerate() {
        if large == small {
            return None;
        }
        layout.set(2 * rank, Some(large));
        layout.set(2 * rank + 1, Some(small));
    }
    Some(layout)
}

/// Packs a layer from scratch, and assigns the replicas packed together to the rank that already
/// holds most of them, so that few replicas have to be loaded.
pub(crate) fn repack_layer(current: &LayerLayout, expert_loads: &[f64]) -> LayerLayout {
    let packed = pack_evenly(expert_loads, current.rank_count(), current.slots_per_rank());
    let ranks = 0..current.rank_count();
    let mut pairs: Vec<(usize, usize, usize)> = Vec::new();
    for bundle in ranks.clone() {
        for rank in ranks.clone() {
            let held = packed.slots()[packed.rank_slots(bundle)].iter().flatten();
            let overlap = held.filter(|expert| current.holds(rank, **expert)).count();
            pairs.push((overlap, bundle, rank));
        }
    }
    pairs.sort_by_key(|(overlap, bundle, rank)| (std::cmp::Reverse(*overlap), *bundle, *rank));
    let mut layout = LayerLayout::empty(current.rank_count(), current.slots_per_rank());
    let mut is_assigned = vec![false; current.rank_count()];
    let mut is_filled = vec![false; current.rank_count()];
    for (_, bundle, rank) in pairs {
        if is_assigned[bundle] || is_filled[rank] {
            continue;
        }
        is_assigned[bundle] = true;
        is_filled[rank] = true;
        let slots = packed.rank_slots(bundle).zip(layout.rank_slots(rank));
        for (from, to) in slots {
            layout.set(to, packed.slots()[from]);
        }
    }
    layout
}
