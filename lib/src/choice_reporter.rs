//! What a rank's requests chose, as its planner is told.

use crate::DirectEngine;

/// Rounds of telling the planner in a second.
pub(crate) const ROUNDS_PER_S: usize = 10;
/// Choices of experts that all ranks together tell the planner, at most.
const MAX_BYTES_PER_S: usize = 256 << 10;
/// Bytes of one expert's choices in a datagram, about.
const CHOICE_BYTES: usize = 2;

/// What a rank's requests chose, as its planner is told.
///
/// In a group in which not all ranks can tell their choices in each round, they take turns. A turn
/// tells of the round before it only: demand is the same at all ranks, and old choices are worth
/// little.
#[derive(Debug)]
pub(crate) struct ChoiceReporter {
    rank: usize,
    rank_count: usize,
    round: usize,
    /// Choices that the engine had counted when it was last looked at.
    counted: Vec<u64>,
}

impl ChoiceReporter {
    pub(crate) fn new(rank: u32, rank_count: u32) -> Self {
        Self {
            rank: rank as usize,
            rank_count: rank_count as usize,
            round: 0,
            counted: Vec::new(),
        }
    }

    /// Returns the choices to tell in this round, for each expert; none where it is not the rank's
    /// turn.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not tell what it has counted.
    pub(crate) async fn next(&mut self, engine: &DirectEngine) -> Result<Vec<u32>, String> {
        let turns = self.turns();
        let turn = (self.round + self.rank) % turns;
        self.round += 1;
        // The round before the turn takes the ground for it.
        if turn > 1 {
            return Ok(Vec::new());
        }
        let choices = (engine.choices)().await?;
        let since = self.since(choices.counts);
        let is_own_turn = turn == 1 || turns == 1;
        Ok(if is_own_turn { since } else { Vec::new() })
    }

    /// Rounds from one turn of the rank to the next.
    fn turns(&self) -> usize {
        let bytes = self.counted.len() * CHOICE_BYTES * self.rank_count;
        let turns = (bytes * ROUNDS_PER_S).div_ceil(MAX_BYTES_PER_S);
        turns.max(1)
    }

    /// Returns the choices since the counts before; an engine that was started anew counts from
    /// zero again.
    fn since(&mut self, counts: Vec<u64>) -> Vec<u32> {
        let before = std::mem::replace(&mut self.counted, counts);
        let is_same_run = before.len() == self.counted.len();
        let pairs = self.counted.iter().enumerate();
        let since = pairs.map(|(expert, count)| {
            let earlier = if is_same_run { before[expert] } else { *count };
            let chosen = if *count >= earlier {
                count - earlier
            } else {
                *count
            };
            u32::try_from(chosen).unwrap_or(u32::MAX)
        });
        since.collect()
    }
}
