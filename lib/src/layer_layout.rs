//! Assignment of one layer's expert replicas to ranks.

use pomeloramp_proc_macros::value;

/// The experts in the slots of every rank, for one layer of a model.
///
/// A rank holds an expert at most once. The replicas of an expert share its load evenly.
#[value]
pub struct LayerLayout {
    rank_count: usize,
    slots_per_rank: usize,
    /// The expert in each slot, ordered by rank.
    slots: Vec<Option<usize>>,
}

impl LayerLayout {
    /// Creates a layout without replicas.
    #[must_use]
    pub fn empty(rank_count: usize, slots_per_rank: usize) -> Self {
        Self {
            rank_count,
            slots_per_rank,
            slots: vec![None; rank_count * slots_per_rank],
        }
    }

    /// Returns the number of ranks.
    #[must_use]
    pub fn rank_count(&self) -> usize {
        self.rank_count
    }

    /// Returns the number of slots per rank.
    #[must_use]
    pub fn slots_per_rank(&self) -> usize {
        self.slots_per_rank
    }

    /// Returns the expert in each slot, ordered by rank; `None` for a free slot.
    #[must_use]
    pub fn slots(&self) -> &[Option<usize>] {
        &self.slots
    }

    /// Returns the rank that a slot belongs to.
    #[must_use]
    pub fn rank_of(&self, slot: usize) -> usize {
        slot / self.slots_per_rank
    }

    /// Returns the indices of a rank's slots.
    #[must_use]
    pub fn rank_slots(&self, rank: usize) -> std::ops::Range<usize> {
        rank * self.slots_per_rank..(rank + 1) * self.slots_per_rank
    }

    /// Returns whether a rank holds a replica of an expert.
    #[must_use]
    pub fn holds(&self, rank: usize, expert: usize) -> bool {
        self.slots[self.rank_slots(rank)].contains(&Some(expert))
    }

    /// Returns the number of replicas of each expert.
    #[must_use]
    pub fn replica_counts(&self, expert_count: usize) -> Vec<u32> {
        let mut counts = vec![0; expert_count];
        for expert in self.slots.iter().flatten() {
            counts[*expert] += 1;
        }
        counts
    }

    /// Returns the load of each rank in tokens per second, given the loads of the experts.
    #[must_use]
    pub fn rank_loads(&self, expert_loads: &[f64]) -> Vec<f64> {
        let counts = self.replica_counts(expert_loads.len());
        let load = |slot: &Option<usize>| {
            slot.map_or(0.0, |expert| {
                expert_loads[expert] / f64::from(counts[expert])
            })
        };
        let ranks = self.slots.chunks(self.slots_per_rank);
        ranks.map(|slots| slots.iter().map(load).sum()).collect()
    }

    /// Returns the skew: the highest rank load divided by the mean rank load, or 1 without load.
    #[must_use]
    pub fn skew(&self, expert_loads: &[f64]) -> f64 {
        skew_of(&self.rank_loads(expert_loads))
    }

    /// Returns how many replicas ranks have to load to get from `earlier` to this layout.
    #[must_use]
    pub fn moves_from(&self, earlier: &Self) -> usize {
        let slots = self.slots.iter().enumerate();
        let loaded = slots.filter(|(slot, expert)| {
            expert.is_some_and(|expert| !earlier.holds(self.rank_of(*slot), expert))
        });
        loaded.count()
    }

    pub(crate) fn set(&mut self, slot: usize, expert: Option<usize>) {
        self.slots[slot] = expert;
    }
}

/// Returns the highest load divided by the mean load, or 1 without load.
pub(crate) fn skew_of(rank_loads: &[f64]) -> f64 {
    let total: f64 = rank_loads.iter().sum();
    let rank_count = u32::try_from(rank_loads.len()).unwrap_or(u32::MAX);
    let highest = rank_loads.iter().copied().fold(0.0, f64::max);
    if total > 0.0 {
        highest * f64::from(rank_count) / total
    } else {
        1.0
    }
}
