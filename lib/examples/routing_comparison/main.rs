//! Compares routing policies over seeded scenarios.
//!
//! `cargo run --release -p pomeloramp-lib --example routing_comparison -- [--seed N] [--csv FILE]
//! [--entries N] [--endpoints N] [--scenario NAME] [--report-interval-ms N] [--words]
//! [--cache-events none|removed|all] [--restarts] [--router-only]
//! [--endpoints-per-entry N]`. Each row pools three runs, whose
//! seeds follow on the given one.

mod entry;
mod request_record;
mod run;
mod scenario;

use std::fmt::Write as _;
use std::thread;
use std::thread::ScopedJoinHandle;

use crate::request_record::RequestRecord;
use crate::run::RoutingRun;
use crate::run::RunOutcome;
use crate::scenario::CacheNews;
use crate::scenario::EndpointNews;
use crate::scenario::RoutePolicy;
use crate::scenario::Scenario;

const POLICIES: [RoutePolicy; 4] = [
    RoutePolicy::Random,
    RoutePolicy::LeastRequests,
    RoutePolicy::PrefixHash,
    RoutePolicy::Router,
];
const SCENARIOS: [Scenario; 7] = [
    Scenario::Steady,
    Scenario::DriftingPrefixes,
    Scenario::OneSlow,
    Scenario::OneStalled,
    Scenario::OneRefusing,
    Scenario::Rush,
    Scenario::Outage,
];
const RUNS_PER_ROW: u64 = 3;
const IN_TIME_MS: u64 = 4_000;

/// Figures of one policy in one scenario.
struct Row {
    scenario: Scenario,
    policy: RoutePolicy,
    requests: usize,
    first_token_p50_ms: u64,
    first_token_p95_ms: u64,
    first_token_p99_ms: u64,
    goodput_percent: f64,
    cached_percent: f64,
    sends_per_request: f64,
    refusals_per_request: f64,
    /// Blocks that the cache events of one endpoint name in a second.
    event_blocks_per_s: f64,
}

/// Sizes and settings of the runs of one table.
#[derive(Clone, Copy)]
struct Comparison {
    seed: u64,
    entries: usize,
    endpoints: usize,
    endpoints_per_entry: usize,
    news: EndpointNews,
    is_router_only: bool,
}

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let seed = argument(&mut arguments, "--seed", 1);
    let entries = argument(&mut arguments, "--entries", 8);
    let endpoints = argument(&mut arguments, "--endpoints", 16);
    let comparison = Comparison {
        seed,
        entries,
        endpoints,
        endpoints_per_entry: argument(&mut arguments, "--endpoints-per-entry", usize::MAX),
        news: endpoint_news(&mut arguments),
        is_router_only: arguments.contains("--router-only"),
    };
    let only: Option<String> = arguments.opt_value_from_str("--scenario").expect("a name");
    let csv: Option<String> = arguments.opt_value_from_str("--csv").expect("a path");
    let mut csv_text = String::from(
        "scenario,policy,requests,ttft_p50_ms,ttft_p95_ms,ttft_p99_ms,goodput_percent,\
         cached_percent,sends_per_request,refusals_per_request\n",
    );
    println!(
        "seed {seed}, {entries} entries, {endpoints} endpoints, {:?}",
        comparison.news
    );
    println!(
        "{:<17} {:<14} {:>8} {:>6} {:>6} {:>6} {:>8} {:>7} {:>6} {:>8} {:>7}",
        "scenario",
        "policy",
        "requests",
        "p50",
        "p95",
        "p99",
        "goodput",
        "cached",
        "sends",
        "refusals",
        "blocks"
    );
    for scenario in SCENARIOS {
        let name = format!("{scenario:?}");
        if only.as_ref().is_some_and(|only| *only != name) {
            continue;
        }
        for row in rows(scenario, comparison) {
            println!("{}", row.as_table_line());
            writeln!(csv_text, "{}", row.as_csv_line()).expect("a string takes all");
        }
    }
    if let Some(path) = csv {
        std::fs::write(&path, csv_text).expect("the CSV file can be written");
    }
}

fn argument<T>(arguments: &mut pico_args::Arguments, name: &'static str, default: T) -> T
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    arguments
        .opt_value_from_str(name)
        .expect("a number")
        .unwrap_or(default)
}

fn endpoint_news(arguments: &mut pico_args::Arguments) -> EndpointNews {
    let cache: String = argument(arguments, "--cache-events", "removed".to_owned());
    EndpointNews {
        report_interval_ms: argument(arguments, "--report-interval-ms", 500),
        words: arguments.contains("--words"),
        cache: match cache.as_str() {
            "none" => CacheNews::None,
            "all" => CacheNews::All,
            _ => CacheNews::Removed,
        },
        restarts: arguments.contains("--restarts"),
    }
}

fn rows(scenario: Scenario, comparison: Comparison) -> Vec<Row> {
    let policies = POLICIES
        .into_iter()
        .filter(|policy| !comparison.is_router_only || *policy == RoutePolicy::Router);
    thread::scope(|scope| {
        let handles: Vec<_> = policies
            .map(|policy| scope.spawn(move || row(scenario, policy, comparison)))
            .collect();
        let joined = handles.into_iter().map(ScopedJoinHandle::join);
        joined.map(|row| row.expect("a run ends")).collect()
    })
}

fn row(scenario: Scenario, policy: RoutePolicy, comparison: Comparison) -> Row {
    let outcomes: Vec<RunOutcome> = (comparison.seed..comparison.seed + RUNS_PER_ROW)
        .map(|seed| {
            RoutingRun::builder()
                .policy(policy)
                .scenario(scenario)
                .seed(seed)
                .entries(comparison.entries)
                .endpoints(comparison.endpoints)
                .endpoints_per_entry(comparison.endpoints_per_entry)
                .news(comparison.news)
                .build()
                .run()
        })
        .collect();
    let event_blocks: u64 = outcomes.iter().map(|outcome| outcome.event_blocks).sum();
    let endpoint_seconds = RUNS_PER_ROW * run::RUN_S * comparison.endpoints as u64;
    let records: Vec<RequestRecord> = outcomes
        .into_iter()
        .flat_map(|outcome| outcome.records)
        .collect();
    Row {
        event_blocks_per_s: ratio(event_blocks, endpoint_seconds),
        ..Row::new(scenario, policy, &records)
    }
}

impl Row {
    fn new(scenario: Scenario, policy: RoutePolicy, records: &[RequestRecord]) -> Self {
        let mut first_tokens_ms: Vec<u64> = records
            .iter()
            .filter(|record| record.is_whole)
            .filter_map(|record| record.first_token_ms)
            .collect();
        first_tokens_ms.sort_unstable();
        let good = records.iter().filter(|record| is_good(record)).count() as u64;
        let total = records.len() as u64;
        let sum = |part: fn(&RequestRecord) -> u64| records.iter().map(part).sum::<u64>();
        let prompts =
            sum(|record| record.prompt_tokens * u64::from(record.first_token_ms.is_some()));
        Self {
            scenario,
            policy,
            requests: records.len(),
            first_token_p50_ms: percentile(&first_tokens_ms, 50),
            first_token_p95_ms: percentile(&first_tokens_ms, 95),
            first_token_p99_ms: percentile(&first_tokens_ms, 99),
            goodput_percent: ratio(good, total) * 100.0,
            cached_percent: ratio(sum(|record| record.cached_tokens), prompts) * 100.0,
            sends_per_request: ratio(sum(|record| u64::from(record.sends)), total),
            refusals_per_request: ratio(sum(|record| u64::from(record.refusals)), total),
            event_blocks_per_s: 0.0,
        }
    }

    fn as_table_line(&self) -> String {
        format!(
            "{:<17} {:<14} {:>8} {:>6} {:>6} {:>6} {:>7.2}% {:>6.1}% {:>6.3} {:>8.3} {:>7.1}",
            format!("{:?}", self.scenario),
            format!("{:?}", self.policy),
            self.requests,
            self.first_token_p50_ms,
            self.first_token_p95_ms,
            self.first_token_p99_ms,
            self.goodput_percent,
            self.cached_percent,
            self.sends_per_request,
            self.refusals_per_request,
            self.event_blocks_per_s,
        )
    }

    fn as_csv_line(&self) -> String {
        format!(
            "{:?},{:?},{},{},{},{},{:.3},{:.3},{:.4},{:.4}",
            self.scenario,
            self.policy,
            self.requests,
            self.first_token_p50_ms,
            self.first_token_p95_ms,
            self.first_token_p99_ms,
            self.goodput_percent,
            self.cached_percent,
            self.sends_per_request,
            self.refusals_per_request,
        )
    }
}

/// Whole, and in time reckoned from the caller's first attempt.
fn is_good(record: &RequestRecord) -> bool {
    record.is_whole
        && record
            .first_token_ms
            .is_some_and(|first_token_ms| first_token_ms <= IN_TIME_MS)
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let position = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(position).copied().unwrap_or(0)
}

#[expect(clippy::cast_precision_loss)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / (whole.max(1)) as f64
}
