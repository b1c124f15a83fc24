//! Block hashes of a prompt, from its start on.

use pomeloramp_proc_macros::value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BlockHash;

/// Numbers of blocks whose hashes are keys of homes.
const HOME_KEY_DEPTHS: [usize; 2] = [1, 8];

/// Block hashes of a prompt: two prompts share exactly the hashes of the blocks that are the same
/// from the start on.
#[value]
pub struct PrefixChain {
    hashes: Vec<BlockHash>,
}

impl PrefixChain {
    /// Hashes the whole blocks of a prompt; a last incomplete block is left out.
    ///
    /// Prompts of different scopes (a model and adapter, say) share no hash. At most `max_blocks`
    /// blocks are hashed, so that one long prompt can't displace all others.
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

    /// Hashes by which homes of the prompt are found: of a short prefix, which many prompts share,
    /// and of a longer one, if the prompt is as long.
    #[must_use]
    pub fn home_keys(&self) -> Vec<BlockHash> {
        HOME_KEY_DEPTHS
            .iter()
            .filter_map(|depth| self.hashes.get(depth - 1))
            .copied()
            .collect()
    }

    /// The hashes, from the start of the prompt on.
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
