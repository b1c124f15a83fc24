//! Load of the experts of a model.

use pomeloramp_proc_macros::document;

/// Tokens per second that the model routes to each expert, by layer.
#[document]
pub struct ExpertLoad {
    layers: Vec<Vec<f64>>,
}

impl ExpertLoad {
    /// Creates a load from the tokens per second of each expert, by layer; negative and non-finite
    /// values count as zero.
    #[must_use]
    pub fn new(layers: Vec<Vec<f64>>) -> Self {
        let sanitise = |tokens_per_s: f64| {
            if tokens_per_s.is_finite() {
                tokens_per_s.max(0.0)
            } else {
                0.0
            }
        };
        let layers = layers.into_iter();
        let layers = layers.map(|layer| layer.into_iter().map(sanitise).collect());
        Self {
            layers: layers.collect(),
        }
    }

    /// Returns the tokens per second of each expert of a layer.
    ///
    /// # Panics
    ///
    /// Panics if there is no such layer.
    #[must_use]
    pub fn layer(&self, layer: usize) -> &[f64] {
        &self.layers[layer]
    }

    /// Returns the tokens per second of each expert, by layer.
    #[must_use]
    pub fn layers(&self) -> &[Vec<f64>] {
        &self.layers
    }

    /// Returns the share of the load, from 0 to 1, that has moved to other experts since `earlier`,
    /// as a mean over the layers.
    #[must_use]
    pub fn moved_share(&self, earlier: &Self) -> f64 {
        let pairs = self.layers.iter().zip(&earlier.layers);
        let shares: Vec<f64> = pairs
            .map(|(current, earlier)| layer_moved_share(current, earlier))
            .collect();
        let count = u32::try_from(shares.len()).unwrap_or(u32::MAX);
        shares.iter().sum::<f64>() / f64::from(count.max(1))
    }

    /// Extrapolates this load by `weight` times its change since `earlier`.
    pub(crate) fn extrapolated(&self, earlier: &Self, weight: f64) -> Self {
        let pairs = self.layers.iter().zip(&earlier.layers);
        let layers = pairs.map(|(current, earlier)| {
            let values = current.iter().zip(earlier);
            let values = values.map(|(current, earlier)| current + weight * (current - earlier));
            values.collect()
        });
        Self::new(layers.collect())
    }

    /// Updates the moving average that this load is with a new sample.
    ///
    /// `weight` is the weight of the sample, from 0 (no change) to 1 (the sample replaces the load).
    pub(crate) fn blend(&mut self, sample: &Self, weight: f64) {
        for (layer, sample) in self.layers.iter_mut().zip(&sample.layers) {
            for (value, sample) in layer.iter_mut().zip(sample) {
                *value += weight * (sample - *value);
            }
        }
    }
}

/// Returns half the sum of the differences between the experts' shares of the load.
fn layer_moved_share(current: &[f64], earlier: &[f64]) -> f64 {
    let current_total: f64 = current.iter().sum();
    let earlier_total: f64 = earlier.iter().sum();
    if current_total <= 0.0 || earlier_total <= 0.0 {
        return 0.0;
    }
    let pairs = current.iter().zip(earlier);
    let differences =
        pairs.map(|(current, earlier)| (current / current_total - earlier / earlier_total).abs());
    differences.sum::<f64>() / 2.0
}
