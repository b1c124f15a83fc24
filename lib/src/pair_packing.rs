//! Packs one layer onto ranks with two slots each.
//!
//! With two slots per rank, pairing the largest replica with the smallest, the second largest with
//! the second smallest and so on minimises the highest sum for given replica counts. Only the
//! replica counts have to be searched for.

const MAX_STEPS: usize = 32;
const MIN_IMPROVEMENT: f64 = 1e-6;

/// Replica counts, and the replicas that follow from them.
struct PairPacking<'a> {
    expert_loads: &'a [f64],
    /// Number of replicas of each expert.
    counts: Vec<u32>,
    /// Expert and load of each replica, the largest first.
    replicas: Vec<(usize, f64)>,
    /// Mean load of a rank.
    mean: f64,
    /// Loads of the replicas after the exchange under evaluation, the largest first. Kept to reuse
    /// the allocation.
    trial_loads: Vec<f64>,
}

/// One replica fewer of expert `from` and one more of expert `to`.
#[derive(Debug, Clone, Copy)]
struct Exchange {
    from: usize,
    to: usize,
}

/// Improves the replica counts, which fill two slots on each of `rank_count` ranks, and returns
/// the pair of experts of each rank.
pub(crate) fn pack_pairs(
    expert_loads: &[f64],
    counts: Vec<u32>,
    rank_count: u32,
) -> Vec<[usize; 2]> {
    let mut packing = PairPacking {
        expert_loads,
        counts,
        replicas: Vec::new(),
        mean: expert_loads.iter().sum::<f64>() / f64::from(rank_count),
        trial_loads: Vec::new(),
    };
    packing.list_replicas();
    for _ in 0..MAX_STEPS {
        let Some(exchange) = packing.best_exchange(rank_count) else {
            break;
        };
        packing.counts[exchange.from] -= 1;
        packing.counts[exchange.to] += 1;
        packing.list_replicas();
    }
    packing.pairs()
}

impl PairPacking<'_> {
    fn replica_load(&self, expert: usize) -> f64 {
        self.expert_loads[expert] / f64::from(self.counts[expert])
    }

    /// Lists the replicas that follow from the counts, the largest first.
    fn list_replicas(&mut self) {
        let mut experts: Vec<usize> = (0..self.counts.len()).collect();
        experts.sort_by(|a, b| self.replica_load(*b).total_cmp(&self.replica_load(*a)));
        self.replicas.clear();
        for expert in experts {
            let replica = (expert, self.replica_load(expert));
            let count = self.counts[expert] as usize;
            self.replicas.extend(std::iter::repeat_n(replica, count));
        }
    }

    fn pairs(&self) -> Vec<[usize; 2]> {
        let pairs = self.replicas.iter().zip(self.replicas.iter().rev());
        let pairs = pairs.map(|((large, _), (small, _))| [*large, *small]);
        pairs.take(self.replicas.len() / 2).collect()
    }

    /// Returns the exchange that lowers the sum of the pairs' penalties most, among those that add
    /// a replica to an expert of the pair with the highest load.
    fn best_exchange(&mut self, rank_count: u32) -> Option<Exchange> {
        let pairs = self.replicas.iter().zip(self.replicas.iter().rev());
        let pairs = pairs.take(self.replicas.len() / 2);
        let sum = |pair: &((usize, f64), (usize, f64))| pair.0.1 + pair.1.1;
        let pairs = pairs.map(|(large, small)| (*large, *small));
        let highest = pairs.max_by(|a, b| sum(a).total_cmp(&sum(b)))?;
        let mut best = None;
        let mut lowest = self.penalty(None, f64::INFINITY)? - MIN_IMPROVEMENT;
        for to in [highest.0.0, highest.1.0] {
            if self.counts[to] >= rank_count {
                continue;
            }
            for from in 0..self.counts.len() {
                if from == to || self.counts[from] < 2 {
                    continue;
                }
                let exchange = Exchange { from, to };
                if let Some(penalty) = self.penalty(Some(exchange), lowest) {
                    lowest = penalty;
                    best = Some(exchange);
                }
            }
        }
        best
    }

    /// Returns the sum of the pairs' penalties after an exchange, or `None` if it is not below
    /// `limit`.
    fn penalty(&mut self, exchange: Option<Exchange>, limit: f64) -> Option<f64> {
        self.list_trial_loads(exchange);
        let pairs = self.trial_loads.iter().zip(self.trial_loads.iter().rev());
        let mut penalty = 0.0;
        for (large, small) in pairs.take(self.trial_loads.len() / 2) {
            let squared = ((large + small) / self.mean).powi(2);
            penalty += squared.powi(32);
            if penalty >= limit {
                return None;
            }
        }
        Some(penalty)
    }

    /// Fills `trial_loads` with the loads of the replicas after an exchange.
    fn list_trial_loads(&mut self, exchange: Option<Exchange>) {
        self.trial_loads.clear();
        let Some(Exchange { from, to }) = exchange else {
            let loads = self.replicas.iter().map(|(_, load)| *load);
            self.trial_loads.extend(loads);
            return;
        };
        let changed = |expert: usize, count: u32| {
            let load = self.expert_loads[expert] / f64::from(count);
            (load, count as usize)
        };
        let mut changed = [
            changed(from, self.counts[from] - 1),
            changed(to, self.counts[to] + 1),
        ];
        changed.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut changed = changed.into_iter().peekable();
        for (expert, load) in &self.replicas {
            if *expert == from || *expert == to {
                continue;
            }
            while let Some((next, count)) = changed.next_if(|(next, _)| next > load) {
                self.trial_loads.extend(std::iter::repeat_n(next, count));
            }
            self.trial_loads.push(*load);
        }
        for (next, count) in changed {
            self.trial_loads.extend(std::iter::repeat_n(next, count));
        }
    }
}
