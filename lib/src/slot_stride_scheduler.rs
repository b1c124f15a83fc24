//! Turns in which organisations own the slots of an endpoint.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Steps that a slot-millisecond costs at a weight of one; a multiple of every usual weight's power
/// of two, and large against all weights, so that rounding does not show in the shares.
const STEPS_PER_MS: u128 = 1 << 64;

/// Turns in which organisations own the slots of an endpoint, in proportion to their weights.
///
/// The organisation that is furthest behind takes the next turn (stride scheduling), so that whole
/// slots are owned by one organisation at a time, and shares below a slot are exact over time.
#[derive(Debug, Default)]
pub(crate) struct SlotStrideScheduler {
    weights: Vec<u32>,
    /// Steps that each organisation has taken.
    positions: Vec<u128>,
    order: BTreeSet<(u128, usize)>,
}

impl SlotStrideScheduler {
    /// Sets an organisation's weight; its lead over the one furthest behind is restated.
    pub(crate) fn set_weight(&mut self, index: usize, weight: u32) {
        if self.weights.len() <= index {
            self.weights.resize(index + 1, 0);
            self.positions.resize(index + 1, 0);
        }
        let former = self.weights[index];
        if former == weight {
            return;
        }
        self.order.remove(&(self.positions[index], index));
        let last = self.order.first().map_or(0, |(position, _)| *position);
        let lead = self.positions[index].saturating_sub(last);
        self.weights[index] = weight;
        if weight == 0 {
            return;
        }
        let lead_ms = lead * u128::from(former) / STEPS_PER_MS;
        self.positions[index] = last + steps(lead_ms, weight);
        self.order.insert((self.positions[index], index));
    }

    /// Hands out `slots` turns of `turn_ms` each; empty when no organisation has a weight.
    pub(crate) fn assign_turns(&mut self, slots: u32, turn_ms: u64) -> BTreeMap<usize, u32> {
        let mut turns = BTreeMap::new();
        for _ in 0..slots {
            let Some((position, index)) = self.order.pop_first() else {
                break;
            };
            self.positions[index] = position + steps(u128::from(turn_ms), self.weights[index]);
            self.order.insert((self.positions[index], index));
            *turns.entry(index).or_default() += 1;
        }
        turns
    }

    /// Gives back `unused_ms` of each turn.
    pub(crate) fn refund_turns(&mut self, turns: &BTreeMap<usize, u32>, unused_ms: u64) {
        for (index, slots) in turns {
            let unused_ms = u128::from(unused_ms) * u128::from(*slots);
            let weight = self.weights[*index];
            self.order.remove(&(self.positions[*index], *index));
            let position = self.positions[*index];
            self.positions[*index] = position.saturating_sub(steps(unused_ms, weight));
            self.order.insert((self.positions[*index], *index));
        }
    }
}

fn steps(slot_ms: u128, weight: u32) -> u128 {
    slot_ms * (STEPS_PER_MS / u128::from(weight.max(1)))
}
