//! Planner of expert maps: which replicas to move, and whether it pays.

use crate::ExpertLayout;
use crate::ExpertLoad;
use crate::PlanLimits;
use crate::RebalancePlan;
use crate::layer_search::improve;
use crate::layer_trade_off::LayerTradeOff;
use crate::layer_trade_off::Segment;
use crate::protos::template::RebalanceParameters;

/// Proposes few moves that pay for themselves.
#[derive(Debug, bon::Builder)]
pub struct ExpertPlanner {
    /// How the template trades skew against moves.
    parameters: RebalanceParameters,
    /// Bytes of one expert of one layer.
    expert_bytes: u64,
    /// The group's share of the weight store's rate.
    share_bytes_per_s: u64,
}

impl ExpertPlanner {
    /// Returns a plan from `current`, or nothing when no move pays.
    ///
    /// The layers trade skew against moves on their own; the plan takes, layer by layer, the
    /// steps with the highest gain a move, as long as each pays and the limits allow it.
    #[must_use]
    pub fn plan(
        &self,
        current: &ExpertLayout,
        load: &ExpertLoad,
        limits: PlanLimits,
    ) -> Option<RebalancePlan> {
        let least_gain = self.least_gain(limits);
        let pairs = current.layers().iter().zip(load.layers());
        let trades =
            pairs.map(|(layout, loads)| LayerTradeOff::new(improve(layout, loads, least_gain)));
        let mut trades: Vec<LayerTradeOff> = trades.collect();
        let mut moves = 0;
        while let Some(layer) = best_layer(&trades) {
            let trade = &mut trades[layer];
            let Some(segment) = trade.next else {
                break;
            };
            if self.is_worth(segment, moves, limits) {
                moves += segment.moves;
                trade.take(segment);
            } else {
                trade.next = None;
            }
        }
        self.assemble(current, load, limits, &trades)
    }

    fn is_worth(&self, segment: Segment, moves_before: usize, limits: PlanLimits) -> bool {
        let moves = moves_before + segment.moves;
        let move_bytes = self.bytes_of(moves);
        let most_moves = usize::try_from(self.parameters.max_moves_per_plan).unwrap_or(usize::MAX);
        if moves > most_moves || move_bytes > limits.available_bytes {
            return false;
        }
        let gain = self.gain(segment.skew_gain, moves, limits);
        gain > self.cost(segment.moves)
    }

    /// Returns the weighed worth of lower skew, summed over the layers, from when the moves are
    /// done until the load has drifted away.
    fn gain(&self, skew_gain: f64, moves: usize, limits: PlanLimits) -> f64 {
        let horizon_s = f64::from(u32::try_from(self.parameters.horizon_s).unwrap_or(u32::MAX));
        let loading_s = as_f64(moves) * self.seconds_per_move();
        let useful_s = horizon_s.min(limits.drift_horizon_s) - loading_s;
        self.parameters.skew_weight * skew_gain * useful_s.max(0.0)
    }

    /// Returns the skew of one layer that a single move has to win to pay for itself.
    fn least_gain(&self, limits: PlanLimits) -> f64 {
        let worth = self.gain(1.0, 1, limits);
        if worth > 0.0 {
            self.cost(1) / worth
        } else {
            f64::INFINITY
        }
    }

    fn cost(&self, moves: usize) -> f64 {
        self.parameters.move_weight * as_f64(moves)
    }

    fn seconds_per_move(&self) -> f64 {
        let share_bytes_per_s = self.share_bytes_per_s.max(1);
        std::time::Duration::from_millis(self.expert_bytes * 1_000 / share_bytes_per_s)
            .as_secs_f64()
    }

    fn bytes_of(&self, moves: usize) -> u64 {
        let moves = u64::try_from(moves).unwrap_or(u64::MAX);
        moves.saturating_mul(self.expert_bytes)
    }

    fn assemble(
        &self,
        current: &ExpertLayout,
        load: &ExpertLoad,
        limits: PlanLimits,
        trades: &[LayerTradeOff],
    ) -> Option<RebalancePlan> {
        if trades.iter().all(|trade| trade.taken == 0) {
            return None;
        }
        let mut layout = current.clone();
        let mut skew_gain = 0.0;
        for (layer, trade) in trades.iter().enumerate() {
            let taken = &trade.points[trade.taken];
            skew_gain += trade.points[0].skew - taken.skew;
            layout.set_layer(layer, taken.layout.clone());
        }
        let moves = layout.moves_from(current);
        Some(RebalancePlan {
            moves,
            move_bytes: self.bytes_of(moves),
            skew_before: current.skew(load),
            skew_after: layout.skew(load),
            gain: self.gain(skew_gain, moves, limits),
            cost: self.cost(moves),
            layout,
        })
    }
}

fn best_layer(trades: &[LayerTradeOff]) -> Option<usize> {
    let open = trades.iter().enumerate();
    let open = open.filter_map(|(layer, trade)| trade.next.map(|segment| (layer, segment)));
    let best = open.max_by(|a, b| a.1.gain_per_move().total_cmp(&b.1.gain_per_move()));
    best.map(|(layer, _)| layer)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
