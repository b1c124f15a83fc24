//! Compares ways to place experts on drifting, seeded loads.
//!
//! Run with `cargo run --release -p pomeloramp-reports --example expert_balance -- --seed 1
//! --layers 64 [--slots COUNT]`. Prints a table and the same as comma-separated values. Skew is the
//! highest rank load over the mean, averaged over the layers; each layout is judged by the load of
//! the interval after the one that it was planned from.

use std::process::ExitCode;

use pico_args::Arguments;
use pomeloramp_reports::BalanceComparison;
use pomeloramp_reports::BalanceSeries;
use pomeloramp_reports::Drift;

fn lines(comparison: &BalanceComparison) -> Vec<String> {
    let result = comparison.run();
    let bound = result.mean_bound();
    let methods = result.methods.iter();
    methods
        .map(|series| line(comparison, bound, series))
        .collect()
}

fn line(comparison: &BalanceComparison, bound: f64, series: &BalanceSeries) -> String {
    format!(
        "{},{},{},{bound:.4},{:.4},{:.4},{},{},{},{:.2},{:.2}",
        comparison.drift.name(),
        comparison.slots_per_rank,
        series.method,
        series.mean_skew(),
        series.p99_skew(),
        series.total_moves(),
        series.total_gigabytes(),
        series.plans,
        series.mean_planner_ms(),
        series.slowest_planner_ms(),
    )
}

fn print_table(header: &str, lines: &[String]) {
    for line in std::iter::once(header).chain(lines.iter().map(String::as_str)) {
        let cells: Vec<String> = line.split(',').map(|cell| format!("{cell:>14}")).collect();
        println!("{}", cells.join(""));
    }
    println!();
    println!("{header}");
    for line in lines {
        println!("{line}");
    }
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let seed = arguments.opt_value_from_str("--seed");
    let layers = arguments.opt_value_from_str("--layers");
    let slots: Result<Option<u32>, _> = arguments.opt_value_from_str("--slots");
    let (Ok(seed), Ok(layers), Ok(slots)) = (seed, layers, slots) else {
        eprintln!("usage: expert_balance [--seed NUMBER] [--layers COUNT] [--slots COUNT]");
        return ExitCode::FAILURE;
    };
    let unknown = arguments.finish();
    if !unknown.is_empty() {
        eprintln!("unknown arguments: {unknown:?}");
        return ExitCode::FAILURE;
    }
    let header =
        "load,slots,method,bound,mean_skew,p99_skew,moves,gigabytes,plans,mean_ms,slowest_ms";
    let all_slots = slots.map_or(vec![1, 2, 3], |slots| vec![slots]);
    let mut rows = Vec::new();
    for drift in Drift::ALL {
        for slots_per_rank in &all_slots {
            let comparison = BalanceComparison::builder()
                .drift(drift)
                .slots_per_rank(*slots_per_rank)
                .layers(layers.unwrap_or(64))
                .seed(seed.unwrap_or(1))
                .build();
            rows.extend(lines(&comparison));
        }
    }
    print_table(header, &rows);
    ExitCode::SUCCESS
}
