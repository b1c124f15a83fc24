//! Unit tests of the prefix index, and stateful fuzzing against a plain list per endpoint.

use std::collections::BTreeMap;

use googletest::prelude::*;
use pomeloramp_lib::BlockHash;
use pomeloramp_lib::CacheEvent;
use pomeloramp_lib::CachedPrefix;
use pomeloramp_lib::EndpointId;
use pomeloramp_lib::PrefixChain;
use pomeloramp_lib::PrefixIndex;
use pomeloramp_lib::PrefixIndexSettings;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const BLOCK_TOKENS: u64 = 100;
const ENDPOINT: EndpointId = EndpointId(0);
const OTHER: EndpointId = EndpointId(1);

fn index(cache_blocks: usize, max_total_blocks: usize) -> PrefixIndex {
    let settings = PrefixIndexSettings::builder()
        .block_tokens(BLOCK_TOKENS)
        .default_cache_blocks(cache_blocks)
        .max_total_blocks(max_total_blocks)
        .build();
    PrefixIndex::new(settings)
}

/// Returns a chain in which the hash of each block encodes the path up to it.
fn chain(path: &[u64]) -> PrefixChain {
    let mut hash = 1;
    let hashes: Vec<BlockHash> = path
        .iter()
        .map(|step| {
            hash = hash * 10 + step;
            BlockHash(hash)
        })
        .collect();
    PrefixChain::from(hashes)
}

#[googletest::test]
fn prompts_share_exactly_their_common_leading_blocks() {
    let first = PrefixChain::new(b"aaaabbbbccccdd", 7, 4, 16);
    let second = PrefixChain::new(b"aaaabbbbxxxxcccc", 7, 4, 16);
    expect_that!(first.hashes().len(), eq(3));
    expect_that!(first.hashes()[..2], eq(&second.hashes()[..2]));
    expect_that!(first.hashes()[2], not(eq(second.hashes()[2])));
    expect_that!(second.hashes()[3], not(eq(first.hashes()[2])));
}

#[googletest::test]
fn scopes_share_no_hash_and_long_prompts_are_truncated() {
    let first = PrefixChain::new(b"aaaabbbb", 7, 4, 16);
    let second = PrefixChain::new(b"aaaabbbb", 8, 4, 1);
    expect_that!(second.hashes().len(), eq(1));
    expect_that!(first.hashes().contains(&second.hashes()[0]), eq(false));
}

#[googletest::test]
fn longest_prefix_comes_first() {
    let mut index = index(100, 1_000);
    index.add_endpoint(ENDPOINT, None);
    index.add_endpoint(OTHER, None);
    index.record_sent(ENDPOINT, &chain(&[1, 2]), 10);
    index.record_sent(OTHER, &chain(&[1, 2, 3, 4]), 10);
    let found = index.lookup(&chain(&[1, 2, 3, 5]), 4, 0);
    let expected = [
        CachedPrefix {
            endpoint: OTHER,
            tokens: 300,
        },
        CachedPrefix {
            endpoint: ENDPOINT,
            tokens: 200,
        },
    ];
    expect_that!(found, eq(&expected));
}

#[googletest::test]
fn different_rotations_prefer_different_endpoints() {
    let mut index = index(100, 1_000);
    for id in 0..8 {
        index.add_endpoint(EndpointId(id), None);
        index.record_sent(EndpointId(id), &chain(&[1]), 10);
    }
    let mut first: Vec<EndpointId> = (0..8)
        .map(|rotation| index.lookup(&chain(&[1]), 1, rotation)[0].endpoint)
        .collect();
    first.sort();
    first.dedup();
    expect_that!(first.len(), eq(8));
}

#[googletest::test]
fn removal_older_than_a_use_does_not_undo_the_use() {
    let mut index = index(100, 1_000);
    index.add_endpoint(ENDPOINT, None);
    let chain = chain(&[1, 2]);
    index.record_sent(ENDPOINT, &chain, 100);
    let old_removal = CacheEvent::builder()
        .sequence(1)
        .made_at_ms(90)
        .removed(chain.hashes())
        .build();
    index.apply_event(ENDPOINT, &old_removal);
    expect_that!(index.endpoint_blocks(ENDPOINT), eq(2));
    let new_removal = CacheEvent::builder()
        .sequence(2)
        .made_at_ms(110)
        .removed(&chain.hashes()[1..])
        .build();
    index.apply_event(ENDPOINT, &new_removal);
    expect_that!(index.lookup(&chain, 4, 0)[0].tokens, eq(BLOCK_TOKENS));
}

#[googletest::test]
fn late_store_is_undone_by_a_newer_removal() {
    let mut index = index(100, 1_000);
    index.add_endpoint(ENDPOINT, None);
    index.record_sent(ENDPOINT, &chain(&[9]), 500);
    let chain = chain(&[1]);
    let store = CacheEvent::builder()
        .sequence(1)
        .made_at_ms(100)
        .stored(&chain)
        .build();
    let removal = CacheEvent::builder()
        .sequence(2)
        .made_at_ms(300)
        .removed(chain.hashes())
        .build();
    index.apply_event(ENDPOINT, &store);
    expect_that!(index.lookup(&chain, 4, 0).len(), eq(1));
    index.apply_event(ENDPOINT, &removal);
    expect_that!(index.lookup(&chain, 4, 0), is_empty());
}

#[googletest::test]
fn queued_uses_are_bounded_by_twice_the_blocks() {
    let mut index = index(100, 1_000);
    index.add_endpoint(ENDPOINT, None);
    let chain = chain(&[1, 2, 3, 4]);
    for now_ms in 0..100 {
        index.record_sent(ENDPOINT, &chain, now_ms);
        expect_that!(index.queued_uses(), le(9));
    }
    let removal = CacheEvent::builder()
        .sequence(1)
        .made_at_ms(200)
        .removed(chain.hashes())
        .build();
    index.apply_event(ENDPOINT, &removal);
    expect_that!(index.queued_uses(), le(1));
}

/// Blocks of one endpoint, least recently used first, with the time of their last use.
type Blocks = Vec<(BlockHash, u64)>;

/// Oracle with a plain list of blocks per endpoint.
#[derive(Debug, Clone, Default)]
struct Oracle {
    now_ms: u64,
    endpoints: BTreeMap<u32, Cache>,
}

#[derive(Debug, Clone, Default)]
struct Cache {
    blocks: Blocks,
    max_blocks: usize,
    last_sequence: u64,
}

#[derive(Debug, Clone)]
enum Transition {
    Wait(u64),
    Add(u32, usize),
    Remove(u32),
    Send(u32, Vec<u64>),
    Store(u32, u64, u64, Vec<u64>),
    Drop(u32, u64, u64, Vec<u64>),
    Lookup(Vec<u64>, usize, usize),
}

const CACHE_BLOCKS: usize = 12;
const MAX_TOTAL_BLOCKS: usize = 30;

impl Oracle {
    fn evict_excess(&mut self, id: u32) {
        let equal_share = MAX_TOTAL_BLOCKS / self.endpoints.len();
        if let Some(cache) = self.endpoints.get_mut(&id) {
            let bound = cache.max_blocks.min(equal_share);
            let excess = cache.blocks.len().saturating_sub(bound);
            cache.blocks.drain(..excess);
        }
    }

    fn use_chain(&mut self, id: u32, path: &[u64], time_ms: u64) {
        let Some(cache) = self.endpoints.get_mut(&id) else {
            return;
        };
        for &hash in chain(path).hashes().iter().rev() {
            let position = cache.blocks.iter().position(|block| block.0 == hash);
            if let Some(position) = position {
                if cache.blocks[position].1 > time_ms {
                    continue;
                }
                cache.blocks.remove(position);
            }
            cache.blocks.push((hash, time_ms));
        }
        self.evict_excess(id);
    }

    /// Returns whether the event is newer than all earlier events of the endpoint, and records its
    /// sequence number.
    fn record_sequence(&mut self, id: u32, sequence: u64) -> bool {
        let Some(cache) = self.endpoints.get_mut(&id) else {
            return false;
        };
        let is_newer = sequence > cache.last_sequence;
        cache.last_sequence = cache.last_sequence.max(sequence);
        is_newer
    }

    fn prefix_tokens(&self, id: u32, path: &[u64]) -> u64 {
        let blocks = &self.endpoints[&id].blocks;
        let chain = chain(path);
        let held = chain
            .hashes()
            .iter()
            .take_while(|&&hash| blocks.iter().any(|block| block.0 == hash));
        held.count() as u64 * BLOCK_TOKENS
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        let start = Self {
            now_ms: 1_000,
            ..Self::default()
        };
        Just(start).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let path = || vec(0..3_u64, 0..5);
        prop_oneof![
            3 => (1..50_u64).prop_map(Transition::Wait),
            2 => (0..4_u32, 1..CACHE_BLOCKS).prop_map(|(id, blocks)| Transition::Add(id, blocks)),
            1 => (0..4_u32).prop_map(Transition::Remove),
            8 => (0..4_u32, path()).prop_map(|(id, path)| Transition::Send(id, path)),
            2 => (0..4_u32, 1..20_u64, 0..80_u64, path())
                .prop_map(|(id, sequence, age_ms, path)| Transition::Store(id, sequence, age_ms, path)),
            2 => (0..4_u32, 1..20_u64, 0..80_u64, path())
                .prop_map(|(id, sequence, age_ms, path)| Transition::Drop(id, sequence, age_ms, path)),
            6 => (path(), 1..5_usize, any::<usize>())
                .prop_map(|(path, limit, rotation)| Transition::Lookup(path, limit, rotation)),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        let now_ms = state.now_ms;
        match transition {
            Transition::Wait(wait_ms) => state.now_ms += wait_ms,
            Transition::Add(id, max_blocks) => {
                state.endpoints.entry(*id).or_default().max_blocks = *max_blocks;
                for id in 0..4 {
                    state.evict_excess(id);
                }
            }
            Transition::Remove(id) => {
                state.endpoints.remove(id);
            }
            Transition::Send(id, path) => state.use_chain(*id, path, now_ms),
            Transition::Store(id, sequence, age_ms, path) => {
                if state.record_sequence(*id, *sequence) {
                    state.use_chain(*id, path, now_ms - age_ms);
                }
            }
            Transition::Drop(id, sequence, age_ms, path) => {
                if state.record_sequence(*id, *sequence) {
                    let removed = chain(path);
                    let cache = state.endpoints.get_mut(id).unwrap();
                    cache.blocks.retain(|block| {
                        block.1 >= now_ms - age_ms || !removed.hashes().contains(&block.0)
                    });
                }
            }
            Transition::Lookup(..) => {}
        }
        state
    }
}

struct IndexUnderTest {
    index: PrefixIndex,
}

impl IndexUnderTest {
    fn check_lookup(&self, oracle: &Oracle, path: &[u64], limit: usize, rotation: usize) {
        let found = self.index.lookup(&chain(path), limit, rotation);
        for prefix in &found {
            let expected = oracle.prefix_tokens(prefix.endpoint.0, path);
            assert_eq!(prefix.tokens, expected, "at {:?}", prefix.endpoint);
        }
        let mut expected: Vec<u64> = oracle
            .endpoints
            .keys()
            .map(|&id| oracle.prefix_tokens(id, path))
            .filter(|&tokens| tokens > 0)
            .collect();
        expected.sort_unstable_by(|a, b| b.cmp(a));
        expected.truncate(limit);
        let found: Vec<u64> = found.iter().map(|prefix| prefix.tokens).collect();
        assert_eq!(found, expected);
    }
}

impl StateMachineTest for IndexUnderTest {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self {
            index: index(CACHE_BLOCKS, MAX_TOTAL_BLOCKS),
        }
    }

    fn apply(mut state: Self, oracle: &Oracle, transition: Transition) -> Self {
        let now_ms = oracle.now_ms;
        match transition {
            Transition::Wait(_) => {}
            Transition::Add(id, blocks) => state.index.add_endpoint(EndpointId(id), Some(blocks)),
            Transition::Remove(id) => state.index.remove_endpoint(EndpointId(id)),
            Transition::Send(id, path) => {
                state
                    .index
                    .record_sent(EndpointId(id), &chain(&path), now_ms);
            }
            Transition::Store(id, sequence, age_ms, path) => {
                let chain = chain(&path);
                let event = CacheEvent::builder()
                    .sequence(sequence)
                    .made_at_ms(now_ms - age_ms)
                    .stored(&chain)
                    .build();
                state.index.apply_event(EndpointId(id), &event);
            }
            Transition::Drop(id, sequence, age_ms, path) => {
                let chain = chain(&path);
                let event = CacheEvent::builder()
                    .sequence(sequence)
                    .made_at_ms(now_ms - age_ms)
                    .removed(chain.hashes())
                    .build();
                state.index.apply_event(EndpointId(id), &event);
            }
            Transition::Lookup(path, limit, rotation) => {
                state.check_lookup(oracle, &path, limit, rotation);
            }
        }
        state
    }

    fn check_invariants(state: &Self, oracle: &Oracle) {
        for id in 0..4 {
            let expected = oracle.endpoints.get(&id).map_or(0, |c| c.blocks.len());
            assert_eq!(state.index.endpoint_blocks(EndpointId(id)), expected);
        }
        let total: usize = oracle.endpoints.values().map(|c| c.blocks.len()).sum();
        assert_eq!(state.index.total_blocks(), total);
        assert!(total <= MAX_TOTAL_BLOCKS);
        assert!(state.index.queued_uses() <= total * 2 + oracle.endpoints.len());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn index_agrees_with_the_oracle(sequential 1..120 => IndexUnderTest);
}
