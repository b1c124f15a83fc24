//! Measures the CPU time and memory of routing decisions for a number of endpoints.
//!
//! `cargo run --release -p pomeloramp-lib --example routing_cost -- --endpoints N [--seed N]`.
//! Memory is measured as the growth of the resident set while routers and indexes are filled. Freed
//! memory would distort the result, so each run measures one number of endpoints.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

use pomeloramp_lib::BlockHash;
use pomeloramp_lib::EndpointId;
use pomeloramp_lib::PrefixChain;
use pomeloramp_lib::PrefixIndex;
use pomeloramp_lib::PrefixIndexSettings;
use pomeloramp_lib::RouteRequest;
use pomeloramp_lib::Router;
use pomeloramp_lib::RouterSettings;
use pomeloramp_lib::protos::control::LoadReport;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ROUNDS: u64 = 100_000;
const CHAIN_BLOCKS: u64 = 20;
const CHAINS_PER_ENDPOINT: u64 = 100;
const MAX_CACHED_PREFIXES: usize = 16;
const ROUTERS: usize = 40;
const ZONES: [&str; 3] = ["a", "b", "c"];
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let seed: Option<u64> = arguments
        .opt_value_from_str("--seed")
        .expect("--seed is not a number");
    let seed = seed.unwrap_or(1);
    let endpoints: u32 = arguments
        .value_from_str("--endpoints")
        .expect("--endpoints is missing or not a number");
    println!("seed {seed}, {ROUNDS} rounds, chains of {CHAIN_BLOCKS} blocks");
    println!(
        "{:>9} {:>10} {:>10} {:>10} {:>10} {:>10} {:>14} {:>12}",
        "endpoints",
        "choose",
        "refuse",
        "send+end",
        "report",
        "lookup",
        "bytes/endpoint",
        "bytes/block"
    );
    println!("{:>9} {:>54}", "", "ns, ns, ns, ns, ns");
    print_line(endpoints, seed);
}

fn print_line(endpoints: u32, seed: u64) {
    let before_bytes = resident_bytes();
    let index = filled_index(endpoints);
    let index_bytes = resident_bytes().saturating_sub(before_bytes);
    let before_bytes = resident_bytes();
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|_| filled_router(endpoints, seed))
        .collect();
    let filled_bytes = resident_bytes().saturating_sub(before_bytes);
    let router = &mut routers[0];
    let mut rng = SmallRng::seed_from_u64(seed);
    let chains: Vec<PrefixChain> = (0..1_000)
        .map(|_| chain(rng.random_range(0..u64::from(endpoints) * CHAINS_PER_ENDPOINT)))
        .collect();
    let chain_of = |round: u64| &chains[usize::try_from(round).unwrap_or(0) % chains.len()];
    let lookup_ns = time_ns(|round| {
        black_box(index.lookup(chain_of(round), MAX_CACHED_PREFIXES, 0));
    });
    let home_keys = chains[0].home_keys();
    let cached = index.lookup(&chains[0], MAX_CACHED_PREFIXES, 0);
    let request = |time_left_ms| {
        RouteRequest::builder()
            .prompt_tokens(5_000)
            .time_left_ms(time_left_ms)
            .home_keys(&home_keys)
            .cached(&cached)
            .build()
    };
    let choose_ns = time_ns(|_| {
        black_box(router.choose(&request(60_000), 1_000));
    });
    let refuse_ns = time_ns(|_| {
        black_box(router.choose(&request(1), 1_000));
    });
    let send_ns = time_ns(|round| {
        let id = EndpointId(u32::try_from(round).unwrap_or(0) % endpoints);
        let ticket = router.mark_sent(id, 1_000, round);
        router.mark_first_token(ticket);
        router.mark_finished(ticket, round);
    });
    let report_ns = time_ns(|round| {
        let id = EndpointId(u32::try_from(round).unwrap_or(0) % endpoints);
        router.update_load(id, &report(round), round);
    });
    let router_bytes = filled_bytes / ROUTERS as u64 / u64::from(endpoints);
    let block_bytes = index_bytes / index.total_blocks() as u64;
    println!(
        "{endpoints:>9} {choose_ns:>10} {refuse_ns:>10} {send_ns:>10} {report_ns:>10} \
         {lookup_ns:>10} {router_bytes:>14} {block_bytes:>12}"
    );
}

fn report(round: u64) -> LoadReport {
    LoadReport {
        running_requests: u32::try_from(round % 16).unwrap_or(0),
        queued_requests: 0,
        queued_tokens: round % 7 * 1_000,
        capacity: 16,
        prefill_tokens_per_s: 10_000,
    }
}

fn filled_router(endpoints: u32, seed: u64) -> Router {
    let settings = RouterSettings::builder().build();
    let mut router = Router::new(settings, ZONES[0], SmallRng::seed_from_u64(seed));
    for number in 0..endpoints {
        let zone = ZONES[number as usize % ZONES.len()];
        let id = router.add_endpoint(&format!("endpoint-{number}"), zone);
        router.update_load(id, &report(u64::from(number)), 1_000);
        for _ in 0..4 {
            router.mark_sent(id, 1_000, 1_000);
        }
    }
    router
}

fn filled_index(endpoints: u32) -> PrefixIndex {
    let settings = PrefixIndexSettings::builder()
        .max_total_blocks(10_000_000)
        .build();
    let mut index = PrefixIndex::new(settings);
    for number in 0..endpoints {
        index.add_endpoint(EndpointId(number), None);
    }
    for number in 0..u64::from(endpoints) * CHAINS_PER_ENDPOINT {
        let endpoint = u32::try_from(number % u64::from(endpoints)).unwrap_or(0);
        index.record_sent(EndpointId(endpoint), &chain(number), number);
    }
    index
}

/// Returns a chain whose first block is the same in all chains.
fn chain(number: u64) -> PrefixChain {
    let mut hashes = vec![BlockHash(1)];
    let own = (1..CHAIN_BLOCKS)
        .map(|block| BlockHash((number << 8 | block).wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    hashes.extend(own);
    PrefixChain::from(hashes)
}

fn time_ns(mut step: impl FnMut(u64)) -> u128 {
    let start = Instant::now();
    for round in 0..ROUNDS {
        step(round);
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm can be read");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .expect("/proc/self/statm has a resident size");
    pages
        .parse::<u64>()
        .expect("the resident size is a number of pages")
        * PAGE_BYTES
}
