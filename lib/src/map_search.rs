//! Search for few copies of experts that even out the load of a rank group.
//!
//! Answers demand that shifts every few seconds: the search takes a millisecond, and each plan
//! copies little, so that the next one can follow soon.

use crate::ExpertLayout;
use crate::ExpertLoad;
use crate::LayerLayout;

/// Exponent of the smooth maximum of the ranks' loads; the higher, the more the highest one counts.
const SMOOTH_EXPONENT: i32 = 10;
const MAX_CHANGES: usize = 200;
/// Share of the sum of powers below which the rest of it is summed anew.
const LEAST_POWER_SHARE: f64 = 1e-6;
/// Ranks with the highest loads whose experts are moved or replicated.
const HOT_RANKS: usize = 2;

/// Bounds of one plan.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct SearchBounds {
    /// Experts of one set that may be new to a rank.
    pub max_new_per_rank_and_set: usize,
    /// Experts of all sets that may be new to a rank; they set the time of the copying.
    pub max_new_per_rank: usize,
    /// Skew of a set that one copied expert has to win.
    pub least_gain: f64,
}

/// Returns the mean over the sets of the highest rank load over the mean load, where a rank that
/// takes `paces` times as long as usual counts as loaded that much more.
#[must_use]
pub fn skew_with_slowdowns(layout: &ExpertLayout, load: &ExpertLoad, paces: &[f64]) -> f64 {
    let pairs = layout.layers().iter().zip(load.layers());
    let skews = pairs.map(|(layer, loads)| {
        let rank_loads = layer.rank_loads(loads);
        let total: f64 = rank_loads.iter().sum();
        let slowed = rank_loads.iter().zip(paces).map(|(load, pace)| load * pace);
        let highest = slowed.fold(0.0, f64::max);
        if total > 0.0 {
            highest * as_f64(rank_loads.len()) / total
        } else {
            1.0
        }
    });
    skews.sum::<f64>() / as_f64(layout.layers().len().max(1))
}

/// Returns a layout that is reached from `current` with few copies, or nothing when no copy pays.
///
/// A rank that takes `paces` times as long as usual is given that much less.
#[must_use]
pub fn search_map(
    current: &ExpertLayout,
    load: &ExpertLoad,
    paces: &[f64],
    bounds: SearchBounds,
) -> Option<ExpertLayout> {
    let pairs = current.layers().iter().zip(load.layers());
    let mut sets: Vec<SetSearch> = pairs
        .map(|(layer, loads)| SetSearch::new(layer, loads, paces))
        .collect();
    let rank_count = current.layers().first()?.rank_count();
    let mut new_of_rank = vec![0; rank_count];
    let mut best: Vec<Option<Change>> = Vec::new();
    for set in &sets {
        best.push(set.best_change(&new_of_rank, bounds));
    }
    let mut changes = 0;
    while changes < MAX_CHANGES {
        let open = best.iter().enumerate();
        let open = open.filter_map(|(set, change)| change.map(|change| (set, change)));
        let next = open.max_by(|a, b| a.1.gain_per_copy().total_cmp(&b.1.gain_per_copy()));
        let Some((set, change)) = next else {
            break;
        };
        changes += 1;
        let new_before = new_of_rank.clone();
        sets[set].apply(change, &mut new_of_rank);
        let frees_room = new_before.iter().zip(&new_of_rank).any(|(a, b)| a > b);
        for (index, (set_search, best)) in sets.iter().zip(&mut best).enumerate() {
            // The best change of a set that was not changed stays the best while it is allowed, for
            // there is no more room for others than before.
            let is_allowed = |change: &Change| set_search.allows(change, &new_of_rank, bounds);
            if index == set || frees_room || !best.as_ref().is_none_or(is_allowed) {
                *best = set_search.best_change(&new_of_rank, bounds);
            }
        }
    }
    if changes == 0 {
        return None;
    }
    let mut layout = current.clone();
    for (index, set) in sets.into_iter().enumerate() {
        layout.set_layer(index, set.layout);
    }
    Some(layout)
}

/// What a change writes to one slot.
#[derive(Debug, Clone, Copy)]
struct SlotWrite {
    slot: usize,
    /// The expert that the slot gets; absent when it is cleared.
    expert: Option<usize>,
}

/// A change of up to two slots.
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

struct SetSearch<'a> {
    origin: &'a LayerLayout,
    loads: &'a [f64],
    paces: &'a [f64],
    layout: LayerLayout,
    replicas: Vec<u32>,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    mean: f64,
    /// Sum over the ranks of the powers of their loads.
    power_sum: f64,
}

impl<'a> SetSearch<'a> {
    fn new(origin: &'a LayerLayout, loads: &'a [f64], paces: &'a [f64]) -> Self {
        let rank_loads = origin.rank_loads(loads);
        let total: f64 = rank_loads.iter().sum();
        let rank_count = u32::try_from(rank_loads.len().max(1)).unwrap_or(u32::MAX);
        let mut search = Self {
            origin,
            loads,
            paces,
            layout: origin.clone(),
            replicas: Vec::new(),
            holders: Vec::new(),
            rank_loads,
            mean: total / f64::from(rank_count),
            power_sum: 0.0,
        };
        search.reckon();
        search
    }

    /// Computes what follows from the layout.
    fn reckon(&mut self) {
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
    fn allows(&self, change: &Change, new_of_rank: &[usize], bounds: SearchBounds) -> bool {
        let mut fills = change.writes.iter().flatten().filter_map(|write| {
            let rank = self.layout.rank_of(write.slot);
            write.expert.map(|expert| (rank, expert))
        });
        fills.all(|(rank, expert)| self.may_add(rank, expert, new_of_rank, bounds))
    }

    /// Returns the change that wins most for each expert that it copies.
    fn best_change(&self, new_of_rank: &[usize], bounds: SearchBounds) -> Option<Change> {
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
                for change in self.changes(from, expert, new_of_rank, bounds) {
                    self.deltas_of(&change, &mut deltas);
                    let gain = before - smooth_skew(self.powers_after(&deltas));
                    let change = Change { gain, ..change };
                    let is_worth = change.gain_per_copy() >= bounds.least_gain;
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
        ranks.sort_by(|a, b| self.paced_load(*b).total_cmp(&self.paced_load(*a)));
        ranks.truncate(HOT_RANKS);
        ranks
    }

    fn paced_load(&self, rank: usize) -> f64 {
        self.rank_loads[rank] * self.paces[rank]
    }

    /// Returns the changes that take load off the replica of `expert` in slot `from`.
    fn changes(
        &self,
        from: usize,
        expert: usize,
        new_of_rank: &[usize],
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
            let is_cool = self.paced_load(rank) < self.paced_load(hot);
            if rank == hot || !is_cool || self.layout.holds(rank, expert) {
                continue;
            }
            if !self.may_add(rank, expert, new_of_rank, bounds) {
                continue;
            }
            let replicate = Change {
                writes: [Some(SlotWrite::fill(slot, expert)), None],
                copies: self.copies(rank, expert),
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
                !self.layout.holds(hot, other) && self.may_add(hot, other, new_of_rank, bounds);
            if swaps {
                changes.push(Change {
                    writes: [
                        Some(SlotWrite::fill(slot, expert)),
                        Some(SlotWrite::fill(from, other)),
                    ],
                    copies: replicate.copies + self.copies(hot, other),
                    gain: 0.0,
                });
            }
        }
        changes
    }

    /// Returns whether the bounds allow an expert that may be new to a rank.
    fn may_add(
        &self,
        rank: usize,
        expert: usize,
        new_of_rank: &[usize],
        bounds: SearchBounds,
    ) -> bool {
        if self.origin.holds(rank, expert) {
            return true;
        }
        let slots = self.layout.rank_slots(rank);
        let experts = self.layout.slots()[slots].iter().flatten();
        let new_in_set = experts.filter(|held| !self.origin.holds(rank, **held));
        new_in_set.count() < bounds.max_new_per_rank_and_set
            && new_of_rank[rank] < bounds.max_new_per_rank
    }

    fn copies(&self, rank: usize, expert: usize) -> usize {
        usize::from(!self.origin.holds(rank, expert))
    }

    /// Computes by how much a change changes the loads of ranks into `deltas`.
    fn deltas_of(&self, change: &Change, deltas: &mut Vec<(usize, f64)>) {
        deltas.clear();
        let mut replica_deltas: [(usize, i32); 4] = [(usize::MAX, 0); 4];
        for write in change.writes.iter().flatten() {
            note_delta(&mut replica_deltas, self.layout.slots()[write.slot], -1);
            note_delta(&mut replica_deltas, write.expert, 1);
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

    /// Returns the sum of the powers of the loads after a change.
    fn powers_after(&self, deltas: &[(usize, f64)]) -> f64 {
        let changes = deltas.iter().map(|(rank, delta)| {
            let before = self.rank_loads[*rank];
            self.power(*rank, before + delta) - self.power(*rank, before)
        });
        let sum = self.power_sum + changes.sum::<f64>();
        if sum > self.power_sum * LEAST_POWER_SHARE {
            return sum;
        }
        // Nearly all of the sum was taken away, and the rest is less exact than its own sum.
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

    fn power(&self, rank: usize, load: f64) -> f64 {
        let paced = load * self.paces[rank] / self.mean;
        paced.max(0.0).powi(SMOOTH_EXPONENT)
    }

    fn apply(&mut self, change: Change, new_of_rank: &mut [usize]) {
        for write in change.writes.iter().flatten() {
            let rank = self.layout.rank_of(write.slot);
            let lost = self.layout.slots()[write.slot];
            if lost.is_some_and(|lost| !self.origin.holds(rank, lost)) {
                new_of_rank[rank] = new_of_rank[rank].saturating_sub(1);
            }
            let is_new = |expert: usize| !self.origin.holds(rank, expert);
            if write.expert.is_some_and(is_new) {
                new_of_rank[rank] += 1;
            }
        }
        for write in change.writes.iter().flatten() {
            self.layout.set(write.slot, write.expert);
        }
        self.reckon();
    }
}

/// Returns the highest load over the mean, smoothed so that other high ones count too.
fn smooth_skew(power_sum: f64) -> f64 {
    power_sum.powf(1.0 / f64::from(SMOOTH_EXPONENT))
}

fn add_load(deltas: &mut Vec<(usize, f64)>, rank: usize, load: f64) {
    match deltas.iter_mut().find(|(changed, _)| *changed == rank) {
        Some((_, delta)) => *delta += load,
        None => deltas.push((rank, load)),
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn note_delta(deltas: &mut [(usize, i32); 4], expert: Option<usize>, delta: i32) {
    let Some(expert) = expert else {
        return;
    };
    let known = deltas.iter().position(|(changed, _)| *changed == expert);
    let free = deltas
        .iter()
        .position(|(changed, _)| *changed == usize::MAX);
    if let Some(position) = known.or(free) {
        deltas[position] = (expert, deltas[position].1 + delta);
    }
}
