//! Reports of a rank to its group's planner on which experts its requests chose.

use crate::DirectEngine;

/// Rounds of reports to the planner per second.
pub(crate) const ROUNDS_PER_S: usize = 10;
/// Upper limit on the rate at which all ranks together report choices to the planner.
const MAX_BYTES_PER_S: usize = 256 << 10;
/// Approximate size of one expert's count in a datagram, in bytes.
const CHOICE_BYTES: usize = 2;

/// Counts the choices that a rank reports to its planner, and decides in which rounds it does.
///
/// If reports of all ranks in each round would exceed the rate limit, the ranks take turns. A
/// report covers only the round before it: all ranks see the same demand, and old choices are of
/// little value.
#[derive(Debug)]
pub(crate) struct ChoiceReporter {
    rank: usize,
    rank_count: usize,
    round: usize,
    /// Choices of each expert that the engine had counted at the last read.
    last_counts: Vec<u64>,
}

impl ChoiceReporter {
    pub(crate) fn new(rank: u32, rank_count: u32) -> Self {
        Self {
            rank: rank as usize,
            rank_count: rank_count as usize,
            round: 0,
            last_counts: Vec::new(),
        }
    }

    /// Returns the choices of each expert to report in this round; empty if it is not the rank's
    /// turn.
    ///
    /// # Errors
    ///
    /// Fails if the counts cannot be read from the engine.
    pub(crate) async fn next(&mut self, engine: &DirectEngine) -> Result<Vec<u32>, String> {
        let rounds_per_turn = self.rounds_per_turn();
        let turn = (self.round + self.rank) % rounds_per_turn;
        self.round += 1;
        // The counts read in the round before the turn are the base of those reported in the turn.
        if turn > 1 {
            return Ok(Vec::new());
        }
        let choices = (engine.choices)().await?;
        let chosen = self.choices_since_last(choices.counts);
        let is_own_turn = turn == 1 || rounds_per_turn == 1;
        Ok(if is_own_turn { chosen } else { Vec::new() })
    }

    /// Returns the number of rounds from one turn of the rank to the next.
    fn rounds_per_turn(&self) -> usize {
        let bytes = self.last_counts.len() * CHOICE_BYTES * self.rank_count;
        let rounds = (bytes * ROUNDS_PER_S).div_ceil(MAX_BYTES_PER_S);
        rounds.max(1)
    }

    /// Returns the choices since the previous counts; an engine that was restarted counts from zero
    /// again.
    fn choices_since_last(&mut self, counts: Vec<u64>) -> Vec<u32> {
        let previous = std::mem::replace(&mut self.last_counts, counts);
        let is_comparable = previous.len() == self.last_counts.len();
        let pairs = self.last_counts.iter().enumerate();
        let chosen = pairs.map(|(expert, count)| {
            let earlier = if is_comparable {
                previous[expert]
            } else {
                *count
            };
            let chosen = if *count >= earlier {
                count - earlier
            } else {
                *count
            };
            u32::try_from(chosen).unwrap_or(u32::MAX)
        });
        chosen.collect()
    }
}
