//! Which endpoint probably has which prompt prefix in its cache.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::BlockHash;
use crate::CacheEvent;
use crate::CachedPrefix;
use crate::EndpointId;
use crate::PrefixChain;
use crate::PrefixIndexSettings;
use crate::block_queue::BlockQueue;
use crate::block_queue::BlockUse;

/// A stamp is the time of a use in milliseconds above a counter that keeps stamps apart.
const STAMP_COUNTER_BITS: u32 = 20;

/// Which endpoint probably has which prompt prefix in its cache.
///
/// The index is a hint: it models each endpoint's cache as a list of blocks, least recently used
/// first, of a bounded length. Own sends are taken in at once; cache events correct the model,
/// but one that is older than a use of the same block does not undo that use. Lost events need
/// no repair, since blocks that are not used again fall out of the model.
#[derive(Debug)]
pub struct PrefixIndex {
    settings: PrefixIndexSettings,
    holders: HashMap<BlockHash, Vec<Holder>>,
    queues: HashMap<EndpointId, BlockQueue>,
    stamp_counter: u64,
    total_blocks: usize,
}

/// An endpoint that probably holds a block, sorted by endpoint within a block.
#[derive(Debug, Clone, Copy)]
struct Holder {
    endpoint: EndpointId,
    /// Last use of the block at the endpoint.
    stamp: u64,
}

impl PrefixIndex {
    /// Makes an index without endpoints.
    #[must_use]
    pub fn new(settings: PrefixIndexSettings) -> Self {
        Self {
            settings,
            holders: HashMap::new(),
            queues: HashMap::new(),
            stamp_counter: 0,
            total_blocks: 0,
        }
    }

    /// Adds an endpoint with an empty cache of this size, or of the default size. An endpoint
    /// that is already there keeps its blocks.
    pub fn add_endpoint(&mut self, endpoint: EndpointId, cache_blocks: Option<usize>) {
        let max_blocks = cache_blocks.unwrap_or(self.settings.default_cache_blocks);
        self.queues
            .entry(endpoint)
            .or_insert_with(|| BlockQueue::new(max_blocks))
            .max_blocks = max_blocks;
        let endpoints: Vec<EndpointId> = self.queues.keys().copied().collect();
        for endpoint in endpoints {
            self.trim(endpoint);
        }
    }

    /// Forgets an endpoint and all its blocks.
    pub fn remove_endpoint(&mut self, endpoint: EndpointId) {
        let Some(queue) = self.queues.remove(&endpoint) else {
            return;
        };
        for block_use in queue.uses() {
            self.remove_holder(endpoint, block_use.hash);
        }
    }

    /// Notes that a prompt was sent to an endpoint, which will therefore hold its prefix.
    pub fn record_sent(&mut self, endpoint: EndpointId, chain: &PrefixChain, now_ms: u64) {
        if !self.queues.contains_key(&endpoint) {
            return;
        }
        // The deepest block is used first, so that it is also the first to be forgotten.
        for &hash in chain.hashes().iter().rev() {
            let stamp = self.next_stamp(now_ms);
            self.use_block(endpoint, BlockUse { hash, stamp });
        }
        self.trim(endpoint);
    }

    /// Takes in a cache event. Events that arrive after a later one are ignored.
    pub fn apply_event(&mut self, endpoint: EndpointId, event: &CacheEvent) {
        let Some(queue) = self.queues.get_mut(&endpoint) else {
            return;
        };
        if queue
            .last_sequence
            .is_some_and(|last| event.sequence <= last)
        {
            return;
        }
        queue.last_sequence = Some(event.sequence);
        for &hash in event.removed {
            if self.last_use(endpoint, hash) < Some(first_stamp(event.made_at_ms)) {
                self.forget_block(endpoint, hash);
            }
        }
        if let Some(chain) = event.stored {
            self.record_sent(endpoint, chain, event.made_at_ms);
        }
        self.trim(endpoint);
    }

    /// Finds up to `limit` endpoints with the longest cached prefixes, longest first.
    ///
    /// Of endpoints with equally long ones, `spread` selects which come first, so that callers
    /// who pass different values do not all prefer the same endpoints.
    #[must_use]
    pub fn lookup(&self, chain: &PrefixChain, limit: usize, spread: usize) -> Vec<CachedPrefix> {
        let hashes = chain.hashes();
        let mut found: Vec<CachedPrefix> = Vec::new();
        for depth in (1..=hashes.len()).rev() {
            let tokens = depth as u64 * self.settings.block_tokens;
            if found.iter().filter(|prefix| prefix.tokens > tokens).count() >= limit {
                break;
            }
            let Some(holders) = self.holders.get(&hashes[depth - 1]) else {
                continue;
            };
            let start = spread % holders.len();
            for holder in holders[start..].iter().chain(&holders[..start]) {
                if found
                    .iter()
                    .filter(|prefix| prefix.tokens >= tokens)
                    .count()
                    >= limit
                {
                    break;
                }
                if found
                    .iter()
                    .all(|prefix| prefix.endpoint != holder.endpoint)
                {
                    found.push(self.prefix_at(holder.endpoint, &hashes[..depth]));
                }
            }
        }
        found.retain(|prefix| prefix.tokens > 0);
        found.sort_by_key(|prefix| Reverse(prefix.tokens));
        found.truncate(limit);
        found
    }

    /// Number of blocks remembered over all endpoints.
    #[must_use]
    pub fn total_blocks(&self) -> usize {
        self.total_blocks
    }

    /// Number of queued uses over all endpoints, which bounds the memory beside the blocks.
    #[must_use]
    pub fn queued_uses(&self) -> usize {
        self.queues.values().map(|queue| queue.uses().len()).sum()
    }

    /// Number of blocks that the endpoint probably holds.
    #[must_use]
    pub fn endpoint_blocks(&self, endpoint: EndpointId) -> usize {
        self.queues
            .get(&endpoint)
            .map_or(0, |queue| queue.live_blocks)
    }

    /// Length of the prefix without a missing block: a cache event may have removed one between.
    fn prefix_at(&self, endpoint: EndpointId, hashes: &[BlockHash]) -> CachedPrefix {
        let blocks = hashes
            .iter()
            .take_while(|&&hash| self.last_use(endpoint, hash).is_some())
            .count();
        CachedPrefix {
            endpoint,
            tokens: blocks as u64 * self.settings.block_tokens,
        }
    }

    fn next_stamp(&mut self, time_ms: u64) -> u64 {
        self.stamp_counter = (self.stamp_counter + 1) % (1 << STAMP_COUNTER_BITS);
        first_stamp(time_ms) + self.stamp_counter
    }

    fn last_use(&self, endpoint: EndpointId, hash: BlockHash) -> Option<u64> {
        let holders = self.holders.get(&hash)?;
        let position = holders
            .binary_search_by_key(&endpoint, |holder| holder.endpoint)
            .ok()?;
        Some(holders[position].stamp)
    }

    fn use_block(&mut self, endpoint: EndpointId, block_use: BlockUse) {
        let Some(queue) = self.queues.get_mut(&endpoint) else {
            return;
        };
        let holders = self.holders.entry(block_use.hash).or_default();
        let stamp = block_use.stamp;
        match holders.binary_search_by_key(&endpoint, |holder| holder.endpoint) {
            // A late event does not undo a newer use.
            Ok(position) if holders[position].stamp > stamp => return,
            Ok(position) => holders[position].stamp = stamp,
            Err(position) => {
                holders.insert(position, Holder { endpoint, stamp });
                queue.live_blocks += 1;
                self.total_blocks += 1;
            }
        }
        queue.push(block_use);
    }

    fn forget_block(&mut self, endpoint: EndpointId, hash: BlockHash) {
        if self.remove_holder(endpoint, hash)
            && let Some(queue) = self.queues.get_mut(&endpoint)
        {
            queue.live_blocks -= 1;
        }
    }

    /// Returns whether the endpoint was a holder of the block.
    fn remove_holder(&mut self, endpoint: EndpointId, hash: BlockHash) -> bool {
        let Some(holders) = self.holders.get_mut(&hash) else {
            return false;
        };
        let Ok(position) = holders.binary_search_by_key(&endpoint, |holder| holder.endpoint) else {
            return false;
        };
        holders.remove(position);
        if holders.is_empty() {
            self.holders.remove(&hash);
        }
        self.total_blocks -= 1;
        true
    }

    /// Forgets the least recently used blocks above the bounds of the endpoint.
    fn trim(&mut self, endpoint: EndpointId) {
        let fair_share = self.settings.max_total_blocks / self.queues.len().max(1);
        let Some(mut queue) = self.queues.remove(&endpoint) else {
            return;
        };
        while queue.live_blocks > queue.max_blocks.min(fair_share) {
            let Some(oldest) = queue.pop_oldest() else {
                break;
            };
            if self.last_use(endpoint, oldest.hash) == Some(oldest.stamp) {
                self.remove_holder(endpoint, oldest.hash);
                queue.live_blocks -= 1;
            }
        }
        queue.compact(|block| self.last_use(endpoint, block.hash) == Some(block.stamp));
        self.queues.insert(endpoint, queue);
    }
}

fn first_stamp(time_ms: u64) -> u64 {
    time_ms << STAMP_COUNTER_BITS
}
