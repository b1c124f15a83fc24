//! Blocks of one endpoint in the order of their last use.

use std::collections::VecDeque;

use crate::BlockHash;

/// Blocks of one endpoint in the order of their last use.
///
/// A used block is queued again and its older place is skipped when it comes up, so that a use
/// costs no search. The queue is compacted before stale places outnumber live ones.
#[derive(Debug)]
pub(crate) struct BlockQueue {
    uses: VecDeque<BlockUse>,
    pub(crate) live_blocks: usize,
    pub(crate) max_blocks: usize,
    pub(crate) last_sequence: Option<u64>,
}

/// One use of a block. Stamps of a process never repeat.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BlockUse {
    pub(crate) hash: BlockHash,
    pub(crate) stamp: u64,
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

    /// Drops stale places once they outnumber the live ones.
    pub(crate) fn compact(&mut self, is_live: impl Fn(&BlockUse) -> bool) {
        if self.uses.len() > self.live_blocks * 2 + 1 {
            self.uses.retain(is_live);
        }
    }

    /// All places, stale ones included.
    pub(crate) fn uses(&self) -> impl ExactSizeIterator<Item = &BlockUse> {
        self.uses.iter()
    }
}
