//! Assignment of expert replicas to ranks, for all layers of a model.

use bon::bon;
use pomeloramp_proc_macros::value;

use crate::ExpertLoad;
use crate::LayerLayout;
use crate::expert_packing::pack_layer;
use crate::protos::control::ExpertReplica;

/// Assigns the expert replicas of every layer to the ranks of a group.
#[value]
pub struct ExpertLayout {
    layers: Vec<LayerLayout>,
}

#[bon]
impl ExpertLayout {
    /// Builds the layout that the replicas of an expert map describe.
    ///
    /// Returns `None` if a layer or rank is out of range, if a rank holds an expert of a layer
    /// twice, or if a rank holds more replicas of a layer than it has slots.
    #[must_use]
    #[builder]
    pub fn new(
        layer_count: usize,
        rank_count: usize,
        slots_per_rank: usize,
        replicas: &[ExpertReplica],
    ) -> Option<Self> {
        let mut layers = vec![LayerLayout::empty(rank_count, slots_per_rank); layer_count];
        for replica in replicas {
            let (rank, expert) = (replica.rank as usize, replica.expert as usize);
            let layer = layers.get_mut(replica.layer as usize)?;
            if rank >= rank_count || layer.holds(rank, expert) {
                return None;
            }
            let slot = layer
                .rank_slots(rank)
                .find(|slot| layer.slots()[*slot].is_none())?;
            layer.set(slot, Some(expert));
        }
        Some(Self { layers })
    }

    /// Computes a layout for a load from scratch: hot experts are replicated, and the replicas
    /// are packed by longest processing time.
    #[must_use]
    pub fn packed(load: &ExpertLoad, rank_count: usize, slots_per_rank: usize) -> Self {
        let layers = load.layers().iter();
        let layers = layers.map(|loads| pack_layer(loads, rank_count, slots_per_rank));
        Self {
            layers: layers.collect(),
        }
    }

    /// Returns the layouts of all layers, in the order of the layers.
    #[must_use]
    pub fn layers(&self) -> &[LayerLayout] {
        &self.layers
    }

    /// Returns the skew (highest rank load divided by the mean rank load) as a mean over the
    /// layers.
    #[must_use]
    pub fn skew(&self, load: &ExpertLoad) -> f64 {
        let pairs = self.layers.iter().zip(load.layers());
        let total: f64 = pairs.map(|(layer, loads)| layer.skew(loads)).sum();
        let count = u32::try_from(self.layers.len()).unwrap_or(u32::MAX);
        total / f64::from(count.max(1))
    }

    /// Returns how many replicas ranks have to load to get from `earlier` to this layout.
    #[must_use]
    pub fn moves_from(&self, earlier: &Self) -> usize {
        let pairs = self.layers.iter().zip(&earlier.layers);
        pairs
            .map(|(layer, earlier)| layer.moves_from(earlier))
            .sum()
    }

    /// Returns the replicas of the expert map that describes this layout.
    #[must_use]
    pub fn replicas(&self) -> Vec<ExpertReplica> {
        let as_u32 = |index: usize| u32::try_from(index).unwrap_or(u32::MAX);
        let mut replicas = Vec::new();
        for (layer, layout) in self.layers.iter().enumerate() {
            for (slot, expert) in layout.slots().iter().enumerate() {
                replicas.extend(expert.map(|expert| ExpertReplica {
                    layer: as_u32(layer),
                    expert: as_u32(expert),
                    rank: as_u32(layout.rank_of(slot)),
                }));
            }
        }
        replicas
    }

    pub(crate) fn set_layer(&mut self, layer: usize, layout: LayerLayout) {
        self.layers[layer] = layout;
    }
}
