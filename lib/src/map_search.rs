//! Searches for a layout that balances the load of a rank group with few copied experts.
//!
//! It serves demand that shifts every few seconds: a search takes about a millisecond, and each
//! plan copies little, so that the next plan can follow soon.

use crate::ExpertLayout;
use crate::ExpertLoad;
use crate::LayerLayout;
use crate::as_f64::as_f64;

/// Exponent of the smooth maximum (p-norm) of the ranks' loads; the higher it is, the more the
/// highest load dominates.
const SMOOTH_EXPONENT: i32 = 10;
const MAX_CHANGES: usize = 200;
/// Share of the sum of powers below which what a change leaves of it is summed again, because the
/// difference is no longer exact enough.
const MIN_POWER_SHARE: f64 = 1e-6;
/// Number of ranks, those with the highest loads, whose experts are moved or replicated.
const HOT_RANKS: usize = 2;

/// Bounds on the changes of one search.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct SearchBounds {
    /// Experts of one set of layers that may be new to a rank.
    pub max_new_per_rank_and_set: usize,
    /// Experts of all sets that may be new to a rank; their number determines the time to copy them.
    pub max_new_per_rank: usize,
    /// Reduction of a set's skew that each copied expert has to bring.
    pub min_gain: f64,
}

/// Returns the skew (highest rank load divided by the mean) as a mean over the sets of layers.
///
/// The load of each rank is multiplied by its factor in `slowdowns`, which says how many times as
/// long as usual the rank takes.
#[must_use]
pub fn skew_with_slowdowns(layout: &ExpertLayout, load: &ExpertLoad, slowdowns: &[f64]) -> f64 {
    let pairs = layout.layers().iter().zip(load.layers());
    let skews = pairs.map(|(layer, loads)| {
        let rank_loads = layer.rank_loads(loads);
        let total: f64 = rank_loads.iter().sum();
        let slowed = rank_loads
            .iter()
            .zip(slowdowns)
            .map(|(load, slowdown)| load * slowdown);
        let highest = slowed.fold(0.0, f64::max);
        if total > 0.0 {
            highest * as_f64(rank_loads.len()) / total
        } else {
            1.0
        }
    });
    skews.sum::<f64>() / as_f64(layout.layers().len().max(1))
}

/// A search for a layout with lower skew, which can be continued with a larger bound on the copies.
pub struct MapSearch<'a> {
    current: &'a ExpertLayout,
    sets: Vec<SetSearch<'a>>,
    /// Number of experts that are new to each rank, over all sets.
    new_per_rank: Vec<usize>,
}

impl<'a> MapSearch<'a> {
    /// Creates a search that begins at the layout `current`.
    ///
    /// `slowdowns` says for each rank how many times as long as usual it takes; a slower rank gets
    /// correspondingly less load.
    #[must_use]
    pub fn new(current: &'a ExpertLayout, load: &'a ExpertLoad, slowdowns: &'a [f64]) -> Self {
        let pairs = current.layers().iter().zip(load.layers());
        let sets = pairs.map(|(layer, loads)| SetSearch::new(layer, loads, slowdowns));
        Self {
            current,
            sets: sets.collect(),
            new_per_rank: vec![0; slowdowns.len()],
        }
    }

    /// Changes the layout as long as a change within the bounds is worthwhile; returns whether
    /// there was one.
    pub fn extend(&mut self, bounds: SearchBounds) -> bool {
        let sets = self.sets.iter();
        let mut best: Vec<Option<Change>> = sets
            .map(|set| set.best_change(&self.new_per_rank, bounds))
            .collect();
        let mut changes = 0;
        while changes < MAX_CHANGES {
            let candidates = best.iter().enumerate();
            let candidates =
                candidates.filter_map(|(set, change)| change.map(|change| (set, change)));
            let next =
                candidates.max_by(|a, b| a.1.gain_per_copy().total_cmp(&b.1.gain_per_copy()));
            let Some((set, change)) = next else {
                break;
            };
            changes += 1;
            self.apply(set, change, bounds, &mut best);
        }
        changes > 0
    }

    /// Returns the highest number of experts that are new to a rank.
    #[must_use]
    pub fn most_new_per_rank(&self) -> usize {
        self.new_per_rank.iter().copied().max().unwrap_or(0)
    }

    /// Returns the layout with all changes so far.
    #[must_use]
    pub fn layout(&self) -> ExpertLayout {
        let mut layout = self.current.clone();
        for (index, set) in self.sets.iter().enumerate() {
            layout.set_layer(index, set.layout.clone());
        }
        layout
    }

    /// Applies a change of one set, and updates the best changes that it affects.
    fn apply(
        &mut self,
        set: usize,
        change: Change,
        bounds: SearchBounds,
        best: &mut [Option<Change>],
    ) {
        let new_per_rank_before = self.new_per_rank.clone();
        self.sets[set].apply(change, &mut self.new_per_rank);
        let new_per_rank = &self.new_per_rank;
        let frees_capacity = new_per_rank_before
            .iter()
            .zip(new_per_rank)
            .any(|(a, b)| a > b);
        for (index, (set_search, best)) in self.sets.iter().zip(best).enumerate() {
            // The best change of a set that was not changed stays the best as long as it is allowed
            // and no rank has regained capacity for new experts.
            let is_allowed = |change: &Change| set_search.allows(change, new_per_rank, bounds);
            if index == set || frees_capacity || !best.as_ref().is_none_or(is_allowed) {
                *best = set_search.best_change(new_per_rank, bounds);
            }
        }
    }
}

/// The new content of one slot.
#[derive(Debug, Clone, Copy)]
struct SlotWrite {
    slot: usize,
    /// The expert that the slot gets; `None` clears it.
    expert: Option<usize>,
}

/// A change of one or two slots.
#[derive(Debug, Clone, Copy)]
struct Change {
    writes: [Option<SlotWrite>; 2],
    copies: usize,
    gain: f64,
}

impl Change {
    fn gain_per_copy(&self) -> f64 {
        let copies = u32::try_from(self.copies.max(1)).unwrap_or(u32::MAX);
        self.gain / f64::from(copies)
    }
}

impl SlotWrite {
    fn fill(slot: usize, expert: usize) -> Self {
        let expert = Some(expert);
        Self { slot, expert }
    }

    fn clear(slot: usize) -> Self {
        Self { slot, expert: None }
    }
}

/// Search in one set of layers.
struct SetSearch<'a> {
    /// The layout before the search.
    origin: &'a LayerLayout,
    /// Loads of the experts.
    loads: &'a [f64],
    slowdowns: &'a [f64],
    /// The layout with all changes so far.
    layout: LayerLayout,
    /// Number of replicas of each expert.
    replicas: Vec<u32>,
    /// Ranks that hold each expert, by expert.
    holders: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    /// Mean load of a rank.
    mean: f64,
    /// Sum over the ranks of the powers of their loads.
    power_sum: f64,
}

impl<'a> SetSearch<'a> {
    fn new(origin: &'a LayerLayout, loads: &'a [f64], slowdowns: &'a [f64]) -> Self {
        let rank_loads = origin.rank_loads(loads);
        let total: f64 = rank_loads.iter().sum();
        let rank_count = u32::try_from(rank_loads.len().max(1)).unwrap_or(u32::MAX);
        let mut search = Self {
            origin,
            loads,
            slowdowns,
            layout: origin.clone(),
            replicas: Vec::new(),
            holders: Vec::new(),
            rank_loads,
            mean: total / f64::from(rank_count),
            power_sum: 0.0,
        };
        search.update_derived();
        search
    }

    /// Recomputes the fields that are derived from the layout.
    fn update_derived(&mut self) {
        self.replicas = self.layout.replica_counts(self.loads.len());
        self.rank_loads = self.layout.rank_loads(self.loads);
        self.power_sum = self.powers(&self.rank_loads);
        self.holders = vec![Vec::new(); self.loads.len()];
        for (slot, expert) in self.layout.slots().iter().enumerate() {
            let Some(expert) = expert else {
                continue;
            };
            let rank = self.layout.rank_of(slot);
            let holders = &mut self.holders[*expert];
            if holders.last() != Some(&rank) {
                holders.push(rank);
            }
        }
    }

    /// Returns whether the bounds still allow a change.
    fn allows(&self, change: &Change, new_per_rank: &[usize], bounds: SearchBounds) -> bool {
        let mut fills = change.writes.iter().flatten().filter_map(|write| {
            let rank = self.layout.rank_of(write.slot);
            write.expert.map(|expert| (rank, expert))
        });
        fills.all(|(rank, expert)| self.may_add(rank, expert, new_per_rank, bounds))
    }

    /// Returns the change with the highest gain per copied expert.
    fn best_change(&self, new_per_rank: &[usize], bounds: SearchBounds) -> Option<Change> {
        if self.mean <= 0.0 {
            return None;
        }
        let before = smooth_skew(self.power_sum);
        let mut best: Option<Change> = None;
        let mut deltas = Vec::new();
        for hot in self.hot_ranks() {
            for from in self.layout.rank_slots(hot) {
                let Some(expert) = self.layout.slots()[from] else {
                    continue;
                };
                for change in self.changes(from, expert, new_per_rank, bounds) {
                    self.deltas_of(&change, &mut deltas);
                    let gain = before - smooth_skew(self.powers_after(&deltas));
                    let change = Change { gain, ..change };
                    let is_worth = change.gain_per_copy() >= bounds.min_gain;
                    let is_better =
                        best.is_none_or(|best| change.gain_per_copy() > best.gain_per_copy());
                    if is_worth && is_better {
                        best = Some(change);
                    }
                }
            }
        }
        best
    }

    fn hot_ranks(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.rank_loads.len()).collect();
        ranks.sort_by(|a, b| self.slowed_load(*b).total_cmp(&self.slowed_load(*a)));
        ranks.truncate(HOT_RANKS);
        ranks
    }

    fn slowed_load(&self, rank: usize) -> f64 {
        self.rank_loads[rank] * self.slowdowns[rank]
    }

    /// Returns the changes that take load off the replica of `expert` in slot `from`: clearing the
    /// slot, a further replica on a less loaded rank, and a swap with a replica of such a rank.
    fn changes(
        &self,
        from: usize,
        expert: usize,
        new_per_rank: &[usize],
        bounds: SearchBounds,
    ) -> Vec<Change> {
        let hot = self.layout.rank_of(from);
        let mut changes = Vec::new();
        if self.replicas[expert] > 1 {
            changes.push(Change {
                writes: [Some(SlotWrite::clear(from)), None],
                copies: 0,
                gain: 0.0,
            });
        }
        for (slot, other) in self.layout.slots().iter().enumerate() {
            let rank = self.layout.rank_of(slot);
            let is_less_loaded = self.slowed_load(rank) < self.slowed_load(hot);
            if rank == hot || !is_less_loaded || self.layout.holds(rank, expert) {
                continue;
            }
            if !self.may_add(rank, expert, new_per_rank, bounds) {
                continue;
            }
            let replicate = Change {
                writes: [Some(SlotWrite::fill(slot, expert)), None],
                copies: self.copy_count(rank, expert),
                gain: 0.0,
            };
            let is_free = other.is_none_or(|other| self.replicas[other] > 1);
            if is_free {
                changes.push(replicate);
            }
            let Some(other) = *other else {
                continue;
            };
            let swaps =
                !self.layout.holds(hot, other) && self.may_add(hot, other, new_per_rank, bounds);
            if swaps {
                changes.push(Change {
                    writes: [
                        Some(SlotWrite::fill(slot, expert)),
                        Some(SlotWrite::fill(from, other)),
                    ],
                    copies: replicate.copies + self.copy_count(hot, other),
                    gain: 0.0,
                });
            }
        }
        changes
    }

    /// Returns whether the bounds allow a rank to get an expert, which may be new to it.
    fn may_add(
        &self,
        rank: usize,
        expert: usize,
        new_per_rank: &[usize],
        bounds: SearchBounds,
    ) -> bool {
        if self.origin.holds(rank, expert) {
            return true;
        }
        let slots = self.layout.rank_slots(rank);
        let experts = self.layout.slots()[slots].iter().flatten();
        let new_in_set = experts.filter(|held| !self.origin.holds(rank, **held));
        new_in_set.count() < bounds.max_new_per_rank_and_set
            && new_per_rank[rank] < bounds.max_new_per_rank
    }

    /// Returns 1 if the rank would have to copy the expert, 0 if it held it before the search.
    fn copy_count(&self, rank: usize, expert: usize) -> usize {
        usize::from(!self.origin.holds(rank, expert))
    }

    /// Fills `deltas` with the ranks whose loads a change affects, and the differences in load.
    fn deltas_of(&self, change: &Change, deltas: &mut Vec<(usize, f64)>) {
        deltas.clear();
        let mut replica_deltas: [(usize, i32); 4] = [(usize::MAX, 0); 4];
        for write in change.writes.iter().flatten() {
            add_replica_delta(&mut replica_deltas, self.layout.slots()[write.slot], -1);
            add_replica_delta(&mut replica_deltas, write.expert, 1);
        }
        let replicas_after = |expert: usize| {
            let delta = replica_deltas
                .iter()
                .find(|(changed, _)| *changed == expert);
            let delta = delta.map_or(0, |(_, delta)| *delta);
            f64::from(self.replicas[expert].saturating_add_signed(delta).max(1))
        };
        for (expert, delta) in replica_deltas {
            if expert == usize::MAX || delta == 0 {
                continue;
            }
            let before = self.loads[expert] / f64::from(self.replicas[expert].max(1));
            let after = self.loads[expert] / replicas_after(expert);
            for rank in &self.holders[expert] {
                add_load(deltas, *rank, after - before);
            }
        }
        for write in change.writes.iter().flatten() {
            let rank = self.layout.rank_of(write.slot);
            if let Some(lost) = self.layout.slots()[write.slot] {
                add_load(deltas, rank, -self.loads[lost] / replicas_after(lost));
            }
            if let Some(expert) = write.expert {
                add_load(deltas, rank, self.loads[expert] / replicas_after(expert));
            }
        }
    }

    /// Returns the sum of the powers of the ranks' loads after their loads change by `deltas`.
    fn powers_after(&self, deltas: &[(usize, f64)]) -> f64 {
        let changes = deltas.iter().map(|(rank, delta)| {
            let before = self.rank_loads[*rank];
            self.power(*rank, before + delta) - self.power(*rank, before)
        });
        let sum = self.power_sum + changes.sum::<f64>();
        if sum > self.power_sum * MIN_POWER_SHARE {
            return sum;
        }
        // Nearly all of the sum was subtracted, and the rounding error of the remainder is too large.
        let mut loads = self.rank_loads.clone();
        for (rank, delta) in deltas {
            loads[*rank] += delta;
        }
        self.powers(&loads)
    }

    fn powers(&self, rank_loads: &[f64]) -> f64 {
        let loads = rank_loads.iter().enumerate();
        loads.map(|(rank, load)| self.power(rank, *load)).sum()
    }

    /// Returns the power of a rank's load relative to the mean, adjusted for its slowdown.
    fn power(&self, rank: usize, load: f64) -> f64 {
        let slowed = load * self.slowdowns[rank] / self.mean;
        slowed.max(0.0).powi(SMOOTH_EXPONENT)
    }

    fn apply(&mut self, change: Change, new_per_rank: &mut [usize]) {
        for write in change.writes.iter().flatten() {
            let rank = self.layout.rank_of(write.slot);
            let lost = self.layout.slots()[write.slot];
            if lost.is_some_and(|lost| !self.origin.holds(rank, lost)) {
                new_per_rank[rank] = new_per_rank[rank].saturating_sub(1);
            }
            let is_new = |expert: usize| !self.origin.holds(rank, expert);
            if write.expert.is_some_and(is_new) {
                new_per_rank[rank] += 1;
            }
        }
        for write in change.writes.iter().flatten() {
            self.layout.set(write.slot, write.expert);
        }
        self.update_derived();
    }
}

/// Returns a smoothed skew, to which high loads other than the highest contribute too.
fn smooth_skew(power_sum: f64) -> f64 {
    power_sum.powf(1.0 / f64::from(SMOOTH_EXPONENT))
}

fn add_load(deltas: &mut Vec<(usize, f64)>, rank: usize, load: f64) {
    match deltas.iter_mut().find(|(changed, _)| *changed == rank) {
        Some((_, delta)) => *delta += load,
        None => deltas.push((rank, load)),
    }
}

fn add_replica_delta(deltas: &mut [(usize, i32); 4], expert: Option<usize>, delta: i32) {
    let Some(expert) = expert else {
        return;
    };
    let existing = deltas.iter().position(|(changed, _)| *changed == expert);
    let free = deltas
        .iter()
        .position(|(changed, _)| *changed == usize::MAX);
    if let Some(position) = existing.or(free) {
        deltas[position] = (expert, deltas[position].1 + delta);
    }
}
