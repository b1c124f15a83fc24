//! Seeded loads of experts whose popularity drifts.

use pomeloramp_lib::ExpertLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of experts of each layer.
pub const EXPERTS: usize = 64;
/// Number of intervals of a run.
pub const INTERVALS: u32 = 120;
/// Standard deviation of the logarithm of an expert's popularity.
const POPULARITY_SIGMA: f64 = 0.7;
/// Standard deviation of the logarithm of the load of one interval around its trend.
const NOISE_SIGMA: f64 = 0.005;
const TOKENS_PER_S: f64 = 37_000.0;

/// How the popularity of experts changes over a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drift {
    /// From one draw to another.
    Dawn,
    /// To another draw and back.
    MidMorning,
    /// A jump to another draw at half time.
    Flip,
}

impl Drift {
    /// Every kind of drift.
    pub const ALL: [Self; 3] = [Self::Dawn, Self::MidMorning, Self::Flip];

    /// Returns the name that tables and plots show.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Dawn => "dawn",
            Self::MidMorning => "mid-morning",
            Self::Flip => "flip",
        }
    }

    /// Returns how far the load has gone from its first to its second profile.
    fn blend(self, interval: u32) -> f64 {
        let time = f64::from(interval) / f64::from(INTERVALS);
        match self {
            Self::Dawn => time,
            Self::MidMorning => (std::f64::consts::TAU * time).cos().mul_add(-0.5, 0.5),
            Self::Flip => f64::from(u8::from(time >= 0.5)),
        }
    }
}

/// Source of the loads of one run.
#[derive(Debug)]
pub struct DriftingLoad {
    drift: Drift,
    from: Vec<Vec<f64>>,
    to: Vec<Vec<f64>>,
    noise: StdRng,
}

impl DriftingLoad {
    /// Draws both profiles of popularity.
    #[must_use]
    pub fn new(drift: Drift, seed: u64, layers: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let from = profile(&mut random, layers);
        let to = profile(&mut random, layers);
        Self {
            drift,
            from,
            to,
            noise: random,
        }
    }

    /// Returns the load of the next interval; intervals have to be asked for in order.
    pub fn load(&mut self, interval: u32) -> ExpertLoad {
        let blend = self.drift.blend(interval);
        let pairs = self.from.iter().zip(&self.to);
        let mut layers = Vec::new();
        for (from, to) in pairs {
            let experts = from.iter().zip(to);
            let trend = experts.map(|(from, to)| from + blend * (to - from));
            let noise = &mut self.noise;
            layers.push(
                trend
                    .map(|load| load * log_normal(noise, NOISE_SIGMA))
                    .collect(),
            );
        }
        ExpertLoad::new(layers)
    }
}

fn profile(random: &mut StdRng, layers: usize) -> Vec<Vec<f64>> {
    let mut layer = || {
        let weights: Vec<f64> = (0..EXPERTS)
            .map(|_| log_normal(random, POPULARITY_SIGMA))
            .collect();
        let total: f64 = weights.iter().sum();
        let loads = weights.iter().map(|weight| TOKENS_PER_S * weight / total);
        loads.collect()
    };
    (0..layers).map(|_| layer()).collect()
}

fn log_normal(random: &mut StdRng, sigma: f64) -> f64 {
    // The sum of twelve uniform values is close to normal, with variance one.
    let normal = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    (sigma * normal).exp()
}
