//! Makes a failing trace of faults smaller.

use crate::compound_fault::Round;

/// What is left of a failing trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SmallestTrace {
    /// The smallest rounds that were seen to fail.
    pub rounds: Vec<Round>,
    /// How often the trace was run again.
    pub reruns: usize,
}

impl SmallestTrace {
    /// Leaves out one fault after the other for as long as `fails` holds without it.
    ///
    /// Runs the trace again `max_reruns` times at most. Processes don't repeat a run exactly, so a
    /// fault may be kept that mattered only for the timing.
    pub fn find(
        rounds: &[Round],
        max_reruns: usize,
        mut fails: impl FnMut(&[Round]) -> bool,
    ) -> Self {
        let mut smallest = Self {
            rounds: rounds.to_vec(),
            reruns: 0,
        };
        let mut position = 0;
        while smallest.reruns < max_reruns
            && let Some(shorter) = without(&smallest.rounds, position)
        {
            smallest.reruns += 1;
            if fails(&shorter) {
                smallest.rounds = shorter;
            } else {
                position += 1;
            }
        }
        smallest
    }
}

/// Returns the rounds without the fault at `position`, or `None` past the last one.
fn without(rounds: &[Round], position: usize) -> Option<Vec<Round>> {
    let mut left = position;
    let mut shorter = rounds.to_vec();
    for index in 0..shorter.len() {
        if left < shorter[index].len() {
            shorter[index].remove(left);
            shorter.retain(|round| !round.is_empty());
            return Some(shorter);
        }
        left -= shorter[index].len();
    }
    None
}
