//! Planner of expert maps: decides which replicas to move, and whether the lower skew is worth it.

use crate::ExpertLayout;
use crate::ExpertLoad;
use crate::PlanLimits;
use crate::RebalancePlan;
use crate::as_f64::as_f64;
use crate::layer_search::trade_off_curve;
use crate::layer_trade_off::LayerTradeOff;
use crate::layer_trade_off::Segment;
use crate::protos::template::RebalanceParameters;

/// Plans the moves of replicas whose gain exceeds their cost.
#[derive(Debug, bon::Builder)]
pub struct ExpertPlanner {
    /// Weights of skew and moves and the limits of a plan, from the service's template.
    parameters: RebalanceParameters,
    /// Size of one expert of one layer, in bytes.
    expert_bytes: u64,
    /// The group's share of the weight store's rate, in bytes per second.
    share_bytes_per_s: u64,
}

impl ExpertPlanner {
    /// Returns a plan that starts from `current`, or `None` if no move is worth its cost.
    ///
    /// Each layer has its own trade-off curve of skew against moves. The plan repeatedly takes the
    /// segment with the highest skew gain per move among all layers, as long as each segment is
    /// worth its cost and the limits allow it.
    #[must_use]
    pub fn plan(
        &self,
        current: &ExpertLayout,
        load: &ExpertLoad,
        limits: PlanLimits,
    ) -> Option<RebalancePlan> {
        let min_gain = self.min_gain(limits);
        let pairs = current.layers().iter().zip(load.layers());
        let trade_offs = pairs
            .map(|(layout, loads)| LayerTradeOff::new(trade_off_curve(layout, loads, min_gain)));
        let mut trade_offs: Vec<LayerTradeOff> = trade_offs.collect();
        let mut moves = 0;
        while let Some(layer) = best_layer(&trade_offs) {
            let trade_off = &mut trade_offs[layer];
            let Some(segment) = trade_off.next else {
                break;
            };
            if self.is_worthwhile(segment, moves, limits) {
                moves += segment.moves;
                trade_off.take(segment);
            } else {
                trade_off.next = None;
            }
        }
        self.assemble(current, load, limits, &trade_offs)
    }

    fn is_worthwhile(&self, segment: Segment, moves_before: usize, limits: PlanLimits) -> bool {
        let moves = moves_before + segment.moves;
        let move_bytes = self.bytes_of(moves);
        let max_moves = usize::try_from(self.parameters.max_moves_per_plan).unwrap_or(usize::MAX);
        if moves > max_moves || move_bytes > limits.available_bytes {
            return false;
        }
        let gain = self.gain(segment.skew_gain, moves, limits);
        gain > self.cost(segment.moves)
    }

    /// Returns the weighted value of a lower skew, summed over the layers, for the time from the
    /// end of the moves until the load has drifted away.
    fn gain(&self, skew_gain: f64, moves: usize, limits: PlanLimits) -> f64 {
        let horizon_s = f64::from(u32::try_from(self.parameters.horizon_s).unwrap_or(u32::MAX));
        let loading_s = as_f64(moves) * self.seconds_per_move();
        let useful_s = horizon_s.min(limits.drift_horizon_s) - loading_s;
        self.parameters.skew_weight * skew_gain * useful_s.max(0.0)
    }

    /// Returns the reduction of one layer's skew that makes a single move worth its cost.
    fn min_gain(&self, limits: PlanLimits) -> f64 {
        let value = self.gain(1.0, 1, limits);
        if value > 0.0 {
            self.cost(1) / value
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
        trade_offs: &[LayerTradeOff],
    ) -> Option<RebalancePlan> {
        if trade_offs.iter().all(|trade_off| trade_off.reached == 0) {
            return None;
        }
        let mut layout = current.clone();
        let mut skew_gain = 0.0;
        for (layer, trade_off) in trade_offs.iter().enumerate() {
            let reached = &trade_off.points[trade_off.reached];
            skew_gain += trade_off.points[0].skew - reached.skew;
            layout.set_layer(layer, reached.layout.clone());
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

fn best_layer(trade_offs: &[LayerTradeOff]) -> Option<usize> {
    let candidates = trade_offs.iter().enumerate();
    let candidates =
        candidates.filter_map(|(layer, trade_off)| trade_off.next.map(|segment| (layer, segment)));
    let best = candidates.max_by(|a, b| a.1.gain_per_move().total_cmp(&b.1.gain_per_move()));
    best.map(|(layer, _)| layer)
}
