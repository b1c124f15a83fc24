//! Chained block hashes of a prompt.

use pomeloramp_proc_macros::value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BlockHash;

/// Prefix lengths, in blocks, whose hashes are used to find home endpoints.
const HOME_KEY_DEPTHS: [usize; 2] = [1, 8];

/// Chained block hashes of a prompt. Two prompts share exactly the hashes of their common leading
/// blocks.
#[value]
pub struct PrefixChain {
    hashes: Vec<BlockHash>,
}

impl PrefixChain {
    /// Hashes the complete blocks of a prompt; an incomplete last block is ignored.
    ///
    /// Prompts of different scopes (for example of different models or adapters) share no hash. At
    /// most `max_blocks` blocks are hashed, so that one long prompt can't evict all others from the
    /// prefix index.
    #[must_use]
    pub fn new(prompt: &[u8], scope: u64, block_bytes: usize, max_blocks: usize) -> Self {
        let mut previous = scope;
        let hashes = prompt
            .chunks_exact(block_bytes.max(1))
            .take(max_blocks)
            .map(|block| {
                previous = xxh3_64_with_seed(block, previous);
                BlockHash(previous)
            })
            .collect();
        Self { hashes }
    }

    /// Returns the hashes that select the home endpoints of the prompt: that of a short prefix,
    /// which many prompts share, and that of a longer one, if the prompt is long enough.
    #[must_use]
    pub fn home_keys(&self) -> Vec<BlockHash> {
        HOME_KEY_DEPTHS
            .iter()
            .filter_map(|depth| self.hashes.get(depth - 1))
            .copied()
            .collect()
    }

    /// Returns the hashes of the blocks, from the start of the prompt.
    #[must_use]
    pub fn hashes(&self) -> &[BlockHash] {
        &self.hashes
    }
}

impl From<Vec<BlockHash>> for PrefixChain {
    fn from(hashes: Vec<BlockHash>) -> Self {
        Self { hashes }
    }
}
