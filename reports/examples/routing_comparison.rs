//! Compares routing policies over seeded scenarios.
//!
//! `cargo run --release -p pomeloramp-reports --example routing_comparison -- [--seed N]
//! [--csv FILE] [--entries N] [--endpoints N] [--scenario NAME] [--report-interval-ms N] [--words]
//! [--cache-events none|removed|all] [--restarts] [--router-only] [--endpoints-per-entry N]`. Each
//! row pools three runs, whose seeds follow on the given one.

use std::fmt::Write as _;

use pomeloramp_reports::CacheNews;
use pomeloramp_reports::EndpointNews;
use pomeloramp_reports::RoutePolicy;
use pomeloramp_reports::RoutingComparison;
use pomeloramp_reports::RoutingRow;
use pomeloramp_reports::Scenario;

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let comparison = RoutingComparison::builder()
        .seed(argument(&mut arguments, "--seed", 1))
        .entries(argument(&mut arguments, "--entries", 8))
        .endpoints(argument(&mut arguments, "--endpoints", 16))
        .endpoints_per_entry(argument(
            &mut arguments,
            "--endpoints-per-entry",
            usize::MAX,
        ))
        .news(endpoint_news(&mut arguments))
        .policies(policies(&mut arguments))
        .build();
    let only: Option<String> = arguments.opt_value_from_str("--scenario").expect("a name");
    let csv: Option<String> = arguments.opt_value_from_str("--csv").expect("a path");
    let mut csv_text = String::from(
        "scenario,policy,requests,ttft_p50_ms,ttft_p95_ms,ttft_p99_ms,goodput_percent,\
         cached_percent,sends_per_request,refusals_per_request\n",
    );
    println!(
        "seed {}, {} entries, {} endpoints, {:?}",
        comparison.seed, comparison.entries, comparison.endpoints, comparison.news
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
    for scenario in Scenario::ALL {
        let name = format!("{scenario:?}");
        if only.as_ref().is_some_and(|only| *only != name) {
            continue;
        }
        for row in comparison.rows(scenario) {
            println!("{}", as_table_line(&row));
            writeln!(csv_text, "{}", as_csv_line(&row)).expect("a string takes all");
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
    let shipped = EndpointNews::default();
    let cache: String = argument(arguments, "--cache-events", "removed".to_owned());
    EndpointNews {
        report_interval_ms: argument(
            arguments,
            "--report-interval-ms",
            shipped.report_interval_ms,
        ),
        words: arguments.contains("--words"),
        cache: match cache.as_str() {
            "none" => CacheNews::None,
            "all" => CacheNews::All,
            _ => CacheNews::Removed,
        },
        restarts: arguments.contains("--restarts"),
    }
}

fn policies(arguments: &mut pico_args::Arguments) -> Vec<RoutePolicy> {
    if arguments.contains("--router-only") {
        vec![RoutePolicy::Router]
    } else {
        RoutePolicy::ALL.to_vec()
    }
}

fn as_table_line(row: &RoutingRow) -> String {
    format!(
        "{:<17} {:<14} {:>8} {:>6} {:>6} {:>6} {:>7.2}% {:>6.1}% {:>6.3} {:>8.3} {:>7.1}",
        format!("{:?}", row.scenario),
        format!("{:?}", row.policy),
        row.requests,
        row.first_token_p50_ms,
        row.first_token_p95_ms,
        row.first_token_p99_ms,
        row.goodput_percent,
        row.cached_percent,
        row.sends_per_request,
        row.refusals_per_request,
        row.event_blocks_per_s,
    )
}

fn as_csv_line(row: &RoutingRow) -> String {
    format!(
        "{:?},{:?},{},{},{},{},{:.3},{:.3},{:.4},{:.4}",
        row.scenario,
        row.policy,
        row.requests,
        row.first_token_p50_ms,
        row.first_token_p95_ms,
        row.first_token_p99_ms,
        row.goodput_percent,
        row.cached_percent,
        row.sends_per_request,
        row.refusals_per_request,
    )
}
