//! The form in which ranks exchange the experts of a map.

use pomeloramp_proc_macros::value;

use crate::ExpertLayout;
use crate::LayerLayout;
use crate::protos::control::ExpertReplica;

/// The expert in each slot, ordered by set of layers, then by rank, then by slot.
///
/// A slot holds the number of its expert plus one, or zero if it is free.
#[value]
pub struct ExpertSlots {
    rank_count: usize,
    slots_per_rank: usize,
    slots: Vec<u32>,
}

impl ExpertSlots {
    /// Creates the slots from those of a message; `None` if they do not fill a whole number of sets.
    #[must_use]
    pub fn new(rank_count: usize, slots_per_rank: usize, slots: Vec<u32>) -> Option<Self> {
        let set_size = rank_count * slots_per_rank;
        let is_whole = set_size > 0 && !slots.is_empty() && slots.len().is_multiple_of(set_size);
        is_whole.then_some(Self {
            rank_count,
            slots_per_rank,
            slots,
        })
    }

    /// Returns the slots of a layout; `None` if it has no layers.
    #[must_use]
    pub fn from_layout(layout: &ExpertLayout) -> Option<Self> {
        let first_layer = layout.layers().first()?;
        let as_slot = |expert: &Option<usize>| {
            expert.map_or(0, |expert| u32::try_from(expert + 1).unwrap_or(u32::MAX))
        };
        let slots = layout.layers().iter().flat_map(LayerLayout::slots);
        Self::new(
            first_layer.rank_count(),
            first_layer.slots_per_rank(),
            slots.map(as_slot).collect(),
        )
    }

    /// Returns the layout with these slots, each set as a layer; `None` if a rank holds an expert of
    /// a set twice.
    #[must_use]
    pub fn layout(&self) -> Option<ExpertLayout> {
        let mut replicas = Vec::new();
        for set in 0..self.set_count() {
            for rank in 0..self.rank_count {
                let as_u32 = |index: usize| u32::try_from(index).unwrap_or(u32::MAX);
                replicas.extend(self.experts(set, rank).map(|expert| ExpertReplica {
                    layer: as_u32(set),
                    expert,
                    rank: as_u32(rank),
                }));
            }
        }
        ExpertLayout::builder()
            .layer_count(self.set_count())
            .rank_count(self.rank_count)
            .slots_per_rank(self.slots_per_rank)
            .replicas(&replicas)
            .build()
    }

    /// Returns the number of sets of layers.
    #[must_use]
    pub fn set_count(&self) -> usize {
        self.slots.len() / (self.rank_count * self.slots_per_rank)
    }

    /// Returns the number of ranks.
    #[must_use]
    pub fn rank_count(&self) -> usize {
        self.rank_count
    }

    /// Returns the experts that a rank holds in a set.
    ///
    /// # Panics
    ///
    /// Panics if the set or the rank is out of range.
    pub fn experts(&self, set: usize, rank: usize) -> impl Iterator<Item = u32> {
        let first = (set * self.rank_count + rank) * self.slots_per_rank;
        let slots = &self.slots[first..first + self.slots_per_rank];
        slots.iter().filter(|slot| **slot > 0).map(|slot| slot - 1)
    }

    /// Returns all slots in the form that messages carry.
    #[must_use]
    pub fn as_slice(&self) -> &[u32] {
        &self.slots
    }
}
