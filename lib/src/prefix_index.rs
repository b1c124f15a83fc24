//! Approximate index of the prompt prefixes that each endpoint caches.

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

/// Low bits of a timestamp, which hold a counter that makes timestamps unique. The high bits are
/// the time of the use in milliseconds.
const TIMESTAMP_COUNTER_BITS: u32 = 20;

/// Approximate index of the prompt prefixes that each endpoint caches.
///
/// The index models the cache of each endpoint as an LRU list of blocks with a bounded length. The
/// entry's own requests update the model at once. Cache events correct it, but an event that is
/// older than a use of the same block does not undo that use. Lost events need no repair, since
/// blocks that are not used again are evicted from the model.
#[derive(Debug)]
pub struct PrefixIndex {
    settings: PrefixIndexSettings,
    holders: HashMap<BlockHash, Vec<Holder>>,
    queues: HashMap<EndpointId, BlockQueue>,
    timestamp_counter: u64,
    total_blocks: usize,
}

/// Endpoint that probably caches a block. The holders of a block are sorted by endpoint.
#[derive(Debug, Clone, Copy)]
struct Holder {
    endpoint: EndpointId,
    /// Timestamp of the last use of the block at the endpoint.
    timestamp: u64,
}

impl PrefixIndex {
    /// Creates an index without endpoints.
    #[must_use]
    pub fn new(settings: PrefixIndexSettings) -> Self {
        Self {
            settings,
            holders: HashMap::new(),
            queues: HashMap::new(),
            timestamp_counter: 0,
            total_blocks: 0,
        }
    }

    /// Adds an endpoint with an empty cache of `cache_blocks` blocks, or of the default size. An
    /// endpoint that was added before keeps its blocks and gets the new size.
    pub fn add_endpoint(&mut self, endpoint: EndpointId, cache_blocks: Option<usize>) {
        let max_blocks = cache_blocks.unwrap_or(self.settings.default_cache_blocks);
        self.queues
            .entry(endpoint)
            .or_insert_with(|| BlockQueue::new(max_blocks))
            .max_blocks = max_blocks;
        let endpoints: Vec<EndpointId> = self.queues.keys().copied().collect();
        for endpoint in endpoints {
            self.evict_excess(endpoint);
        }
    }

    /// Removes an endpoint and all its blocks.
    pub fn remove_endpoint(&mut self, endpoint: EndpointId) {
        let Some(queue) = self.queues.remove(&endpoint) else {
            return;
        };
        for block_use in queue.uses() {
            self.remove_holder(endpoint, block_use.hash);
        }
    }

    /// Records that a prompt was sent to an endpoint, which will therefore cache its prefix.
    pub fn record_sent(&mut self, endpoint: EndpointId, chain: &PrefixChain, now_ms: u64) {
        if !self.queues.contains_key(&endpoint) {
            return;
        }
        // The last block of the prefix is used first, so that it is also evicted first.
        for &hash in chain.hashes().iter().rev() {
            let timestamp = self.next_timestamp(now_ms);
            self.record_use(endpoint, BlockUse { hash, timestamp });
        }
        self.evict_excess(endpoint);
    }

    /// Applies a cache event. An event that arrives after a later one is ignored.
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
            if self.last_use(endpoint, hash) < Some(first_timestamp(event.made_at_ms)) {
                self.remove_block(endpoint, hash);
            }
        }
        if let Some(chain) = event.stored {
            self.record_sent(endpoint, chain, event.made_at_ms);
        }
        self.evict_excess(endpoint);
    }

    /// Finds up to `limit` endpoints with the longest cached prefixes, longest first.
    ///
    /// Among endpoints with equally long prefixes, `rotation` selects which come first, so that
    /// callers that pass different values do not all prefer the same endpoints.
    #[must_use]
    pub fn lookup(&self, chain: &PrefixChain, limit: usize, rotation: usize) -> Vec<CachedPrefix> {
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
            let start = rotation % holders.len();
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

    /// Returns the number of blocks over all endpoints.
    #[must_use]
    pub fn total_blocks(&self) -> usize {
        self.total_blocks
    }

    /// Returns the number of queued uses over all endpoints, which bounds the memory in addition to
    /// the blocks.
    #[must_use]
    pub fn queued_uses(&self) -> usize {
        self.queues.values().map(|queue| queue.uses().len()).sum()
    }

    /// Returns the number of blocks that the endpoint probably caches.
    #[must_use]
    pub fn endpoint_blocks(&self, endpoint: EndpointId) -> usize {
        self.queues
            .get(&endpoint)
            .map_or(0, |queue| queue.live_blocks)
    }

    /// Returns the prefix up to the first missing block; a cache event may have removed a block in
    /// the middle.
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

    fn next_timestamp(&mut self, time_ms: u64) -> u64 {
        self.timestamp_counter = (self.timestamp_counter + 1) % (1 << TIMESTAMP_COUNTER_BITS);
        first_timestamp(time_ms) + self.timestamp_counter
    }

    fn last_use(&self, endpoint: EndpointId, hash: BlockHash) -> Option<u64> {
        let holders = self.holders.get(&hash)?;
        let position = holders
            .binary_search_by_key(&endpoint, |holder| holder.endpoint)
            .ok()?;
        Some(holders[position].timestamp)
    }

    fn record_use(&mut self, endpoint: EndpointId, block_use: BlockUse) {
        let Some(queue) = self.queues.get_mut(&endpoint) else {
            return;
        };
        let holders = self.holders.entry(block_use.hash).or_default();
        let timestamp = block_use.timestamp;
        match holders.binary_search_by_key(&endpoint, |holder| holder.endpoint) {
            // A late event must not undo a newer use.
            Ok(position) if holders[position].timestamp > timestamp => return,
            Ok(position) => holders[position].timestamp = timestamp,
            Err(position) => {
                holders.insert(
                    position,
                    Holder {
                        endpoint,
                        timestamp,
                    },
                );
                queue.live_blocks += 1;
                self.total_blocks += 1;
            }
        }
        queue.push(block_use);
    }

    fn remove_block(&mut self, endpoint: EndpointId, hash: BlockHash) {
        if self.remove_holder(endpoint, hash)
            && let Some(queue) = self.queues.get_mut(&endpoint)
        {
            queue.live_blocks -= 1;
        }
    }

    /// Removes the endpoint from the holders of the block; returns whether it was one.
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

    /// Evicts the least recently used blocks in excess of the endpoint's cache size or of its equal
    /// share of `max_total_blocks`.
    fn evict_excess(&mut self, endpoint: EndpointId) {
        let equal_share = self.settings.max_total_blocks / self.queues.len().max(1);
        let Some(mut queue) = self.queues.remove(&endpoint) else {
            return;
        };
        while queue.live_blocks > queue.max_blocks.min(equal_share) {
            let Some(oldest) = queue.pop_oldest() else {
                break;
            };
            if self.last_use(endpoint, oldest.hash) == Some(oldest.timestamp) {
                self.remove_holder(endpoint, oldest.hash);
                queue.live_blocks -= 1;
            }
        }
        queue.compact(|block| self.last_use(endpoint, block.hash) == Some(block.timestamp));
        self.queues.insert(endpoint, queue);
    }
}

/// Returns the lowest timestamp of the given time.
fn first_timestamp(time_ms: u64) -> u64 {
    time_ms << TIMESTAMP_COUNTER_BITS
}
