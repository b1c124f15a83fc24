//! Where the replicas of all layers' experts are.

use bon::bon;
use pomeloramp_proc_macros::value;

use crate::ExpertLoad;
use crate::LayerLayout;
use crate::expert_packing::pack_layer;
use crate::protos::control::ExpertReplica;

/// The layout of every layer of a model on the ranks of a group.
#[value]
pub struct ExpertLayout {
    layers: Vec<LayerLayout>,
}

#[bon]
impl ExpertLayout {
    /// Restores the layout that the replicas of a map describe; `None` when they do not fit.
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

    /// Computes a layout for a load from nothing: hot experts are replicated, and the replicas
    /// are packed by longest processing time.
    #[must_use]
    pub fn packed(load: &ExpertLoad, rank_count: usize, slots_per_rank: usize) -> Self {
        let layers = load.layers().iter();
        let layers = layers.map(|loads| pack_layer(loads, rank_count, slots_per_rank));
        Self {
            layers: layers.collect(),
        }
    }

    /// Returns the layouts of all layers.
    #[must_use]
    pub fn layers(&self) -> &[LayerLayout] {
        &self.layers
    }

    /// Returns the mean over the layers of the highest rank load over the mean.
    #[must_use]
    pub fn skew(&self, load: &ExpertLoad) -> f64 {
        let pairs = self.layers.iter().zip(load.layers());
        let total: f64 = pairs.map(|(layer, loads)| layer.skew(loads)).sum();
        let count = u32::try_from(self.layers.len()).unwrap_or(u32::MAX);
        total / f64::from(count.max(1))
    }

    /// Returns how many replicas have to be loaded to get from `earlier` to this layout.
    #[must_use]
    pub fn moves_from(&self, earlier: &Self) -> usize {
        let pairs = self.layers.iter().zip(&earlier.layers);
        pairs.map(|(now, then)| now.moves_from(then)).sum()
    }

    /// Returns the replicas of an expert map with this layout.
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
