//! Load of the experts of a model.

use pomeloramp_proc_macros::document;

/// Tokens a second that the router sends to each expert, layer by layer.
#[document]
pub struct ExpertLoad {
    layers: Vec<Vec<f64>>,
}

impl ExpertLoad {
    /// Creates a load from one list of tokens a second per layer; negative and non-finite values
    /// count as zero.
    #[must_use]
    pub fn new(layers: Vec<Vec<f64>>) -> Self {
        let sane = |tokens_per_s: f64| {
            if tokens_per_s.is_finite() {
                tokens_per_s.max(0.0)
            } else {
                0.0
            }
        };
        let layers = layers.into_iter();
        let layers = layers.map(|layer| layer.into_iter().map(sane).collect());
        Self {
            layers: layers.collect(),
        }
    }

    /// Returns the tokens a second of each expert of a layer.
    #[must_use]
    pub fn layer(&self, layer: usize) -> &[f64] {
        &self.layers[layer]
    }

    /// Returns the loads of all layers.
    #[must_use]
    pub fn layers(&self) -> &[Vec<f64>] {
        &self.layers
    }

    /// Returns the share of the load that lies on other experts than in `earlier`, from 0 to 1.
    #[must_use]
    pub fn moved_share(&self, earlier: &Self) -> f64 {
        let pairs = self.layers.iter().zip(&earlier.layers);
        let shares: Vec<f64> = pairs
            .map(|(now, then)| layer_moved_share(now, then))
            .collect();
        let count = u32::try_from(shares.len()).unwrap_or(u32::MAX);
        shares.iter().sum::<f64>() / f64::from(count.max(1))
    }

    /// Returns this load moved on by `weight` times its change since `earlier`.
    pub(crate) fn extrapolated(&self, earlier: &Self, weight: f64) -> Self {
        let pairs = self.layers.iter().zip(&earlier.layers);
        let layers = pairs.map(|(now, then)| {
            let values = now.iter().zip(then);
            let values = values.map(|(now, then)| now + weight * (now - then));
            values.collect()
        });
        Self::new(layers.collect())
    }

    /// Moves every value towards `sample` by `weight`, from 0 (unchanged) to 1 (the sample).
    pub(crate) fn blend(&mut self, sample: &Self, weight: f64) {
        for (layer, sample) in self.layers.iter_mut().zip(&sample.layers) {
            for (value, sample) in layer.iter_mut().zip(sample) {
                *value += weight * (sample - *value);
            }
        }
    }
}

fn layer_moved_share(now: &[f64], then: &[f64]) -> f64 {
    let now_total: f64 = now.iter().sum();
    let then_total: f64 = then.iter().sum();
    if now_total <= 0.0 || then_total <= 0.0 {
        return 0.0;
    }
    let pairs = now.iter().zip(then);
    let differences = pairs.map(|(now, then)| (now / now_total - then / then_total).abs());
    differences.sum::<f64>() / 2.0
}
