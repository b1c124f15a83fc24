//! LRU queue of the prompt blocks of one endpoint.

use std::collections::VecDeque;

use crate::BlockHash;

/// LRU queue of the prompt blocks that one endpoint is assumed to cache.
///
/// Every use of a block is appended without a search for the block's earlier use. An earlier use
/// is then stale: it is skipped when it reaches the front. The queue is compacted before stale
/// uses outnumber live ones.
#[derive(Debug)]
pub(crate) struct BlockQueue {
    uses: VecDeque<BlockUse>,
    pub(crate) live_blocks: usize,
    pub(crate) max_blocks: usize,
    /// Sequence number of the last cache event that was applied.
    pub(crate) last_sequence: Option<u64>,
}

/// One use of a block. Timestamps are unique within a process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BlockUse {
    pub(crate) hash: BlockHash,
    pub(crate) timestamp: u64,
}

impl BlockQueue {
    pub(crate) fn new(max_blocks: usize) -> Self {
        Self {
            uses: VecDeque::new(),
            live_blocks: 0,
            max_blocks,
            last_sequence: None,
        }
    }

    pub(crate) fn push(&mut self, block_use: BlockUse) {
        self.uses.push_back(block_use);
    }

    pub(crate) fn pop_oldest(&mut self) -> Option<BlockUse> {
        self.uses.pop_front()
    }

    /// Removes stale uses once they outnumber the live ones.
    pub(crate) fn compact(&mut self, is_live: impl Fn(&BlockUse) -> bool) {
        if self.uses.len() > self.live_blocks * 2 + 1 {
            self.uses.retain(is_live);
        }
    }

    /// Returns all uses, stale ones included, oldest first.
    pub(crate) fn uses(&self) -> impl ExactSizeIterator<Item = &BlockUse> {
        self.uses.iter()
    }
}
