//! Minimises a trace of faults that makes a run fail.

use crate::compound_fault::Round;

/// Result of minimising a failing trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SmallestTrace {
    /// Rounds of the smallest trace whose run failed.
    pub rounds: Vec<Round>,
    /// Number of times that a shortened trace was run.
    pub reruns: usize,
}

impl SmallestTrace {
    /// Tries to remove each fault in turn, and removes it if the run still fails according to `fails`.
    ///
    /// Calls `fails` at most `max_reruns` times. Runs of processes are not exactly reproducible, so a
    /// fault that only influenced the timing may remain.
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
    let mut index_in_round = position;
    let mut shorter = rounds.to_vec();
    for index in 0..shorter.len() {
        if index_in_round < shorter[index].len() {
            shorter[index].remove(index_in_round);
            shorter.retain(|round| !round.is_empty());
            return Some(shorter);
        }
        index_in_round -= shorter[index].len();
    }
    None
}
