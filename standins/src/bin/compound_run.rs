//! Runs drawn pairs of faults over a fleet for many seeds and prints what was found.
//!
//! Usage: `compound-run FIRST_SEED COUNT`. A run that violates a guarantee is run again with fewer
//! and fewer faults; the smallest trace that still failed is printed.

use std::process::ExitCode;

use pico_args::Arguments;
use pomeloramp_testutils::SmallestTrace;
use pomeloramp_testutils::compound;
use pomeloramp_testutils::compound::CompoundPlan;
use pomeloramp_testutils::compound::CompoundReport;
use pomeloramp_testutils::compound_fault::Round;

const ROUNDS: usize = 6;
const MAX_RERUNS: usize = 24;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let first: u64 = arguments.free_from_str().unwrap_or(1);
    let count: u64 = arguments.free_from_str().unwrap_or(1);
    let mut total = CompoundReport::default();
    for seed in first..first + count {
        let report = run_seed(seed);
        total.add(report);
    }
    println!("all: {}", counts(&total));
    if total.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_seed(seed: u64) -> CompoundReport {
    let plan = CompoundPlan {
        seed,
        entries: 8,
        engines: 16,
        plain_endpoints: 3,
        rounds: ROUNDS,
    };
    let rounds = compound::draw(plan);
    let report = compound::run_rounds(plan, &rounds);
    println!("seed {seed}: {}", counts(&report));
    if !report.violations.is_empty() {
        print_rounds("faults", &rounds);
        for violation in &report.violations {
            println!("  violated: {violation}");
        }
        let fails = |rounds: &[Round]| !compound::run_rounds(plan, rounds).violations.is_empty();
        let smallest = SmallestTrace::find(&rounds, MAX_RERUNS, fails);
        println!("  made smaller in {} reruns", smallest.reruns);
        print_rounds("smallest trace that failed", &smallest.rounds);
    }
    report
}

fn counts(report: &CompoundReport) -> String {
    let commits = report.ran + report.not_run + report.unknown;
    format!(
        "{commits} commits: ran {}, not-run {}, unknown {} of which {} had run; \
         whole drafts {}, failed drafts {}; violations {}",
        report.ran,
        report.not_run,
        report.unknown,
        report.unknown_that_ran,
        report.whole_drafts,
        report.failed_drafts,
        report.violations.len(),
    )
}

fn print_rounds(title: &str, rounds: &[Round]) {
    println!("  {title}:");
    for round in rounds {
        let faults = round.iter().map(|fault| {
            let kind = fault.kind;
            format!("{kind:?} entry={} endpoint={}", fault.entry, fault.endpoint)
        });
        println!("    {}", faults.collect::<Vec<_>>().join(" + "));
    }
}
