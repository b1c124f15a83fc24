//! Packing of one layer onto ranks with two slots each.
//!
//! With two slots a rank, pairing the largest replica with the smallest, the second largest with
//! the second smallest and so on makes the highest sum as low as the numbers of replicas allow, so
//! that only these numbers have to be searched for.

const MAX_STEPS: usize = 32;
const MIN_IMPROVEMENT: f64 = 1e-6;

/// Numbers of replicas, and the pairs that follow from them.
struct PairPacking<'a> {
    expert_loads: &'a [f64],
    counts: Vec<u32>,
    /// Expert and load of each replica, the largest first.
    replicas: Vec<(usize, f64)>,
    mean: f64,
    /// Room for the replicas of a change under trial.
    trial: Vec<f64>,
}

/// A replica that one expert gives up for another.
#[derive(Debug, Clone, Copy)]
struct Exchange {
    from: usize,
    to: usize,
}

/// Improves numbers of replicas that fill two slots on each of `rank_count` ranks, and returns
/// the pair of each rank.
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
        trial: Vec::new(),
    };
    packing.sort();
    for _ in 0..MAX_STEPS {
        let Some(exchange) = packing.best_exchange(rank_count) else {
            break;
        };
        packing.counts[exchange.from] -= 1;
        packing.counts[exchange.to] += 1;
        packing.sort();
    }
    packing.pairs()
}

impl PairPacking<'_> {
    fn share(&self, expert: usize) -> f64 {
        self.expert_loads[expert] / f64::from(self.counts[expert])
    }

    fn sort(&mut self) {
        let mut experts: Vec<usize> = (0..self.counts.len()).collect();
        experts.sort_by(|a, b| self.share(*b).total_cmp(&self.share(*a)));
        self.replicas.clear();
        for expert in experts {
            let replica = (expert, self.share(expert));
            let count = self.counts[expert] as usize;
            self.replicas.extend(std::iter::repeat_n(replica, count));
        }
    }

    fn pairs(&self) -> Vec<[usize; 2]> {
        let pairs = self.replicas.iter().zip(self.replicas.iter().rev());
        let pairs = pairs.map(|((large, _), (small, _))| [*large, *small]);
        pairs.take(self.replicas.len() / 2).collect()
    }

    /// Returns the exchange that lowers the pairs' penalties most, among those that give a replica
    /// to an expert of the highest pair.
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

    /// Returns the sum of the pairs' penalties after an exchange, or nothing if it is not below
    /// `most`.
    fn penalty(&mut self, exchange: Option<Exchange>, most: f64) -> Option<f64> {
        self.arrange(exchange);
        let pairs = self.trial.iter().zip(self.trial.iter().rev());
        let mut penalty = 0.0;
        for (large, small) in pairs.take(self.trial.len() / 2) {
            let squared = ((large + small) / self.mean).powi(2);
            penalty += squared.powi(32);
            if penalty >= most {
                return None;
            }
        }
        Some(penalty)
    }

    /// Lists the loads of the replicas after an exchange, the largest first.
    fn arrange(&mut self, exchange: Option<Exchange>) {
        self.trial.clear();
        let Some(Exchange { from, to }) = exchange else {
            let shares = self.replicas.iter().map(|(_, share)| *share);
            self.trial.extend(shares);
            return;
        };
        let changed = |expert: usize, count: u32| {
            let share = self.expert_loads[expert] / f64::from(count);
            (share, count as usize)
        };
        let mut changed = [
            changed(from, self.counts[from] - 1),
            changed(to, self.counts[to] + 1),
        ];
        changed.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut changed = changed.into_iter().peekable();
        for (expert, share) in &self.replicas {
            if *expert == from || *expert == to {
                continue;
            }
            while let Some((next, count)) = changed.next_if(|(next, _)| next > share) {
                self.trial.extend(std::iter::repeat_n(next, count));
            }
            self.trial.push(*share);
        }
        for (next, count) in changed {
            self.trial.extend(std::iter::repeat_n(next, count));
        }
    }
}
