//! Seeded generator of requests whose prompts fall into families with a common prefix.

use pomeloramp_lib::BlockHash;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::EngineRequest;

const FAMILIES: u64 = 300;
const MAX_PREFIX_BLOCKS: u64 = 30;
const MAX_SUFFIX_BLOCKS: u64 = 4;
const MEAN_OUTPUT_TOKENS: u64 = 80;
const URGENT_PERCENT: u32 = 20;
const HASHES_PER_FAMILY: u64 = 1 << 32;

/// Generator of requests whose prompts fall into families with a common prefix. The popularity of
/// the families is skewed and may drift over time.
#[derive(Debug)]
pub struct RoutingWorkload {
    /// Interval after which the popularity distribution shifts by one family; zero for no drift.
    pub drift_interval_ms: u64,
    /// Last hash used for a block that no other prompt contains.
    last_unique: u64,
}

impl RoutingWorkload {
    /// Creates a generator.
    #[must_use]
    pub fn new(drift_interval_ms: u64) -> Self {
        Self {
            drift_interval_ms,
            last_unique: 1 << 60,
        }
    }

    /// Generates a request that arrives at `now_ms`.
    pub fn draw(&mut self, id: usize, now_ms: u64, rng: &mut SmallRng) -> EngineRequest {
        let shift = now_ms.checked_div(self.drift_interval_ms).unwrap_or(0);
        let family = (skewed(FAMILIES, rng) + shift) % (FAMILIES * 100);
        let prefix_blocks = 2 + family * 7 % (MAX_PREFIX_BLOCKS - 1);
        let start = family * HASHES_PER_FAMILY;
        let mut blocks: Vec<BlockHash> = (start..start + prefix_blocks).map(BlockHash).collect();
        for _ in 0..rng.random_range(1..=MAX_SUFFIX_BLOCKS) {
            self.last_unique += 1;
            blocks.push(BlockHash(self.last_unique));
        }
        let is_urgent = rng.random_range(0..100) < URGENT_PERCENT;
        EngineRequest {
            id,
            blocks,
            output_tokens: rng.random_range(1..MEAN_OUTPUT_TOKENS * 2),
            urgency: if is_urgent { 8 } else { 3 },
        }
    }

    /// Returns the mean length of an answer in tokens.
    #[must_use]
    pub fn mean_output_tokens() -> u64 {
        MEAN_OUTPUT_TOKENS
    }
}

/// Draws a number below `count`; smaller numbers are more likely, as in a popularity ranking.
fn skewed(count: u64, rng: &mut SmallRng) -> u64 {
    let scale = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let uniform: f64 = rng.random();
    // The inverse of a Zipf-like distribution function, log(1 + x) / log(1 + count).
    let sample = (scale + 1.0).powf(uniform) - 1.0;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let sample = sample as u64;
    sample.min(count - 1)
}
