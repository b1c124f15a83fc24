//! Loads of the experts of a rank group, which drift.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::rank_order::Replica;

const TOKENS_PER_S: f64 = 1_000.0;
const SPREAD: f64 = 0.7;

/// Popularity of every expert of every layer, each of which rises and falls in its own time.
#[derive(Debug)]
pub(crate) struct RankLoads {
    /// Phase of each expert, layer by layer, as a share of the period.
    phases: Vec<Vec<f64>>,
    period: Duration,
}

impl RankLoads {
    /// Draws the phases from a seed.
    pub(crate) fn new(seed: u64, layers: u32, experts: u32, period: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let phases = (0..layers).map(|_| (0..experts).map(|_| random.random()).collect());
        Self {
            phases: phases.collect(),
            period,
        }
    }

    /// Returns the tokens a second of each expert at one rank, layer by layer; the replicas of an
    /// expert share its load evenly.
    pub(crate) fn of_rank(
        &self,
        rank: u32,
        replicas: &[Replica],
        elapsed: Duration,
    ) -> Vec<Vec<f64>> {
        let turns = elapsed.as_secs_f64() / self.period.as_secs_f64().max(f64::MIN_POSITIVE);
        let mut loads: Vec<Vec<f64>> = Vec::new();
        for (layer, phases) in self.phases.iter().enumerate() {
            let mut layer_loads = vec![0.0; phases.len()];
            for (expert, phase) in phases.iter().enumerate() {
                let holders = replicas.iter().filter(|replica| {
                    replica.layer as usize == layer && replica.expert as usize == expert
                });
                let holders: Vec<u32> = holders.map(|replica| replica.rank).collect();
                if holders.contains(&rank) {
                    let load = TOKENS_PER_S * (SPREAD * (TAU * (turns + phase)).sin()).exp();
                    let sharers = u32::try_from(holders.len()).unwrap_or(u32::MAX);
                    layer_loads[expert] = load / f64::from(sharers);
                }
            }
            loads.push(layer_loads);
        }
        loads
    }
}
