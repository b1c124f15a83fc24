//! The bounded cache of prompt prefixes in an engine.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::cache_event::CacheChange;

/// Bytes of a prompt that one cache block covers.
const BLOCK_BYTES: usize = 64;

/// Remembers the blocks of prompts, each under a digest of the whole prefix that it ends.
///
/// The block that was used longest ago makes room for a new one.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    max_blocks: usize,
    next_use: u64,
    last_use: HashMap<u64, u64>,
    blocks_by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `max_blocks` blocks.
    pub(crate) fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            next_use: 0,
            last_use: HashMap::new(),
            blocks_by_use: BTreeMap::new(),
        }
    }

    /// Returns how many leading bytes of `prompt` are cached.
    pub(crate) fn cached_bytes(&self, prompt: &str) -> usize {
        let cached_blocks = block_digests(prompt)
            .take_while(|digest| self.last_use.contains_key(digest))
            .count();
        cached_blocks * BLOCK_BYTES
    }

    /// Stores the whole blocks of `prompt` and returns what changed.
    pub(crate) fn store(&mut self, prompt: &str) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        for digest in block_digests(prompt).take(self.max_blocks) {
            if self.touch(digest) {
                changes.push(CacheChange::Stored { block: digest });
            }
            if let Some(block) = self.evict_excess() {
                changes.push(CacheChange::Evicted { block });
            }
        }
        changes
    }

    /// Marks a block as used now and returns whether it is new.
    fn touch(&mut self, digest: u64) -> bool {
        let previous = self.last_use.insert(digest, self.next_use);
        if let Some(previous) = previous {
            self.blocks_by_use.remove(&previous);
        }
        self.blocks_by_use.insert(self.next_use, digest);
        self.next_use += 1;
        previous.is_none()
    }

    fn evict_excess(&mut self) -> Option<u64> {
        if self.last_use.len() <= self.max_blocks {
            return None;
        }
        let (_, block) = self.blocks_by_use.pop_first()?;
        self.last_use.remove(&block);
        Some(block)
    }
}

/// Returns a digest for each whole block, over the prompt up to its end.
fn block_digests(prompt: &str) -> impl Iterator<Item = u64> {
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .scan(DefaultHasher::new(), |hasher, block| {
            block.hash(hasher);
            Some(hasher.finish())
        })
}
