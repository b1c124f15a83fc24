//! A simplified model engine with continuous batching, priorities and a bounded prefix cache.

use std::collections::BTreeMap;
use std::collections::HashMap;

use pomeloramp_lib::BlockHash;
use pomeloramp_lib::protos::control::LoadReport;

/// A request to the engine.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Identifies the request in events.
    pub id: usize,
    /// Block hashes of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Length of the answer in tokens.
    pub output_tokens: u64,
    /// Priority; 0 is the least urgent.
    pub urgency: u32,
}

/// Progress of a request in a step of the engine.
#[derive(Debug, Clone, Copy)]
pub enum EngineEvent {
    /// The prefill of the prompt is complete and the first token is generated.
    FirstToken {
        /// Id of the request.
        id: usize,
        /// Prompt tokens that were taken from the prefix cache.
        cached_tokens: u64,
    },
    /// The answer is complete.
    Finished {
        /// Id of the request.
        id: usize,
    },
}

/// A prefix of which some blocks were added to the cache.
#[derive(Debug, Clone)]
pub struct StoredPrefix {
    /// All blocks of the prefix.
    pub blocks: Vec<BlockHash>,
    /// Number of blocks that were not in the cache before.
    pub new_blocks: usize,
}

/// A simulated model engine that advances in steps of [`FakeEngine::STEP_MS`].
#[derive(Debug, Default)]
pub struct FakeEngine {
    /// Speed in percent of full speed; 0 stalls the engine.
    pub speed_percent: u64,
    queue: Vec<EngineRequest>,
    running: Vec<RunningRequest>,
    last_use: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    use_count: u64,
    removed: Vec<BlockHash>,
    stored: Vec<StoredPrefix>,
    progress_percent: u64,
}

#[derive(Debug)]
struct RunningRequest {
    request: EngineRequest,
    cached_tokens: u64,
    prefill_tokens: u64,
    has_first_token: bool,
}

impl FakeEngine {
    /// Duration of one step, in which every decoding request generates one token at full speed.
    pub const STEP_MS: u64 = 25;
    /// Number of tokens in one block of the prefix cache.
    pub const BLOCK_TOKENS: u64 = 256;
    /// Maximum number of requests that run at the same time.
    pub const SLOTS: u32 = 16;
    /// Prompt tokens that are computed per second at full speed.
    pub const PREFILL_TOKENS_PER_S: u64 = 16_000;
    /// Capacity of the prefix cache in blocks.
    pub const CACHE_BLOCKS: usize = 1_000;

    /// Creates an idle engine at full speed.
    #[must_use]
    pub fn new() -> Self {
        Self {
            speed_percent: 100,
            ..Self::default()
        }
    }

    /// Queues a request.
    pub fn submit(&mut self, request: EngineRequest) {
        self.queue.push(request);
    }

    /// Removes a request, whether it is queued or running.
    pub fn cancel(&mut self, id: usize) {
        self.queue.retain(|request| request.id != id);
        self.running.retain(|running| running.request.id != id);
    }

    /// Discards all requests and the cache and returns the ids of the lost requests.
    pub fn crash(&mut self) -> Vec<usize> {
        let queued = self.queue.iter().map(|request| request.id);
        let running = self.running.iter().map(|running| running.request.id);
        let lost = queued.chain(running).collect();
        *self = Self::new();
        lost
    }

    /// Returns the current load. Tokens of queued requests are counted without regard to the prefix cache.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let queued: u64 = self.queue.iter().map(EngineRequest::prompt_tokens).sum();
        let running: u64 = self.running.iter().map(|r| r.prefill_tokens).sum();
        LoadReport {
            running_requests: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued_requests: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            queued_tokens: queued + running,
            capacity: Self::SLOTS,
            prefill_tokens_per_s: Self::PREFILL_TOKENS_PER_S,
        }
    }

    /// Returns the blocks that were evicted from the cache since the last call.
    pub fn take_removed(&mut self) -> Vec<BlockHash> {
        std::mem::take(&mut self.removed)
    }

    /// Returns the prefixes that were added to the cache since the last call.
    pub fn take_stored(&mut self) -> Vec<StoredPrefix> {
        std::mem::take(&mut self.stored)
    }

    /// Advances by [`FakeEngine::STEP_MS`] and returns the progress of the requests.
    pub fn step(&mut self) -> Vec<EngineEvent> {
        self.progress_percent += self.speed_percent;
        if self.progress_percent < 100 {
            return Vec::new();
        }
        self.progress_percent -= 100;
        let mut events = self.decode();
        self.admit();
        self.prefill(&mut events);
        events
    }

    fn decode(&mut self) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        self.running.retain_mut(|running| {
            if !running.has_first_token {
                return true;
            }
            running.request.output_tokens = running.request.output_tokens.saturating_sub(1);
            let is_running = running.request.output_tokens > 0;
            if !is_running {
                let id = running.request.id;
                events.push(EngineEvent::Finished { id });
            }
            is_running
        });
        events
    }

    /// Starts queued requests while slots are free, the most urgent first and the oldest among equals.
    fn admit(&mut self) {
        while self.running.len() < Self::SLOTS as usize && !self.queue.is_empty() {
            let most_urgent = self.queue.iter().map(|r| r.urgency).max().unwrap_or(0);
            let next = self.queue.iter().position(|r| r.urgency == most_urgent);
            let request = self.queue.remove(next.unwrap_or(0));
            let is_cached = |hash: &&BlockHash| self.last_use.contains_key(hash);
            let cached_blocks = request.blocks.iter().take_while(is_cached).count() as u64;
            let cached_tokens = cached_blocks * FakeEngine::BLOCK_TOKENS;
            self.mark_used(&request.blocks);
            self.running.push(RunningRequest {
                cached_tokens,
                prefill_tokens: request.prompt_tokens() - cached_tokens,
                has_first_token: false,
                request,
            });
        }
    }

    fn prefill(&mut self, events: &mut Vec<EngineEvent>) {
        let mut budget_tokens = Self::PREFILL_TOKENS_PER_S * Self::STEP_MS / 1_000;
        for running in self.running.iter_mut().filter(|r| !r.has_first_token) {
            let computed = running.prefill_tokens.min(budget_tokens);
            running.prefill_tokens -= computed;
            budget_tokens -= computed;
            if running.prefill_tokens == 0 {
                running.has_first_token = true;
                events.push(EngineEvent::FirstToken {
                    id: running.request.id,
                    cached_tokens: running.cached_tokens,
                });
            }
        }
    }

    fn mark_used(&mut self, blocks: &[BlockHash]) {
        let is_new = |hash: &&BlockHash| !self.last_use.contains_key(hash);
        let new_blocks = blocks.iter().filter(is_new).count();
        if new_blocks > 0 {
            self.stored.push(StoredPrefix {
                blocks: blocks.to_vec(),
                new_blocks,
            });
        }
        for &hash in blocks.iter().rev() {
            self.use_count += 1;
            if let Some(old) = self.last_use.insert(hash, self.use_count) {
                self.by_use.remove(&old);
            }
            self.by_use.insert(self.use_count, hash);
        }
        while self.by_use.len() > Self::CACHE_BLOCKS {
            if let Some((_, hash)) = self.by_use.pop_first() {
                self.last_use.remove(&hash);
                self.removed.push(hash);
            }
        }
    }
}

impl EngineRequest {
    /// Returns the length of the prompt in tokens.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        self.blocks.len() as u64 * FakeEngine::BLOCK_TOKENS
    }
}
