//! Stride scheduling of the slots of an endpoint among organisations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Increase of an organisation's pass for one slot-millisecond at a weight of one. It is a multiple
/// of the powers of two in all usual weights and much larger than any weight, so that rounding does
/// not affect the shares.
const PASS_PER_SLOT_MS: u128 = 1 << 64;

/// Assigns the slots of an endpoint to organisations in turns, in proportion to their weights.
///
/// The organisation with the lowest pass takes the next turn (stride scheduling), so that each slot
/// is owned by one organisation at a time, and shares below one slot are exact over time.
#[derive(Debug, Default)]
pub(crate) struct SlotStrideScheduler {
    weights: Vec<u32>,
    /// Pass of each organisation: its slot time so far, divided by its weight.
    passes: Vec<u128>,
    /// Passes with organisation indices, for organisations with a weight.
    order: BTreeSet<(u128, usize)>,
}

impl SlotStrideScheduler {
    /// Sets an organisation's weight, and converts its lead over the lowest pass to the new weight.
    pub(crate) fn set_weight(&mut self, index: usize, weight: u32) {
        if self.weights.len() <= index {
            self.weights.resize(index + 1, 0);
            self.passes.resize(index + 1, 0);
        }
        let former = self.weights[index];
        if former == weight {
            return;
        }
        self.order.remove(&(self.passes[index], index));
        let lowest = self.order.first().map_or(0, |(pass, _)| *pass);
        let lead = self.passes[index].saturating_sub(lowest);
        self.weights[index] = weight;
        if weight == 0 {
            return;
        }
        let lead_ms = lead * u128::from(former) / PASS_PER_SLOT_MS;
        self.passes[index] = lowest + pass_increase(lead_ms, weight);
        self.order.insert((self.passes[index], index));
    }

    /// Assigns `slots` turns of `turn_ms` each, and returns the slots by organisation; empty if no
    /// organisation has a weight.
    pub(crate) fn assign_turns(&mut self, slots: u32, turn_ms: u64) -> BTreeMap<usize, u32> {
        let mut turns = BTreeMap::new();
        for _ in 0..slots {
            let Some((pass, index)) = self.order.pop_first() else {
                break;
            };
            self.passes[index] = pass + pass_increase(u128::from(turn_ms), self.weights[index]);
            self.order.insert((self.passes[index], index));
            *turns.entry(index).or_default() += 1;
        }
        turns
    }

    /// Refunds `unused_ms` of each turn to its organisation.
    pub(crate) fn refund_turns(&mut self, turns: &BTreeMap<usize, u32>, unused_ms: u64) {
        for (index, slots) in turns {
            let unused_ms = u128::from(unused_ms) * u128::from(*slots);
            let weight = self.weights[*index];
            self.order.remove(&(self.passes[*index], *index));
            let pass = self.passes[*index];
            self.passes[*index] = pass.saturating_sub(pass_increase(unused_ms, weight));
            self.order.insert((self.passes[*index], *index));
        }
    }
}

fn pass_increase(slot_ms: u128, weight: u32) -> u128 {
    slot_ms * (PASS_PER_SLOT_MS / u128::from(weight.max(1)))
}
