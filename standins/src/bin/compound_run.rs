//! Runs drawn pairs of faults over a fleet for many seeds and prints what was found.
//!
//! Usage: `compound-run FIRST_SEED COUNT`.

use std::process::ExitCode;

use pico_args::Arguments;
use pomeloramp_testutils::compound;
use pomeloramp_testutils::compound::CompoundPlan;

const ROUNDS: usize = 6;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let first: u64 = arguments.free_from_str().unwrap_or(1);
    let count: u64 = arguments.free_from_str().unwrap_or(1);
    let mut is_good = true;
    for seed in first..first + count {
        let report = compound::run(CompoundPlan {
            seed,
            entries: 8,
            engines: 16,
            plain_endpoints: 3,
            rounds: ROUNDS,
        });
        println!(
            "seed {seed}: ran {}, not-run {}, unknown {}, whole drafts {}, failed drafts {}",
            report.ran, report.not_run, report.unknown, report.whole_drafts, report.failed_drafts
        );
        if !report.violations.is_empty() {
            is_good = false;
            println!("  faults: {:?}", report.trace);
            for violation in &report.violations {
                println!("  violated: {violation}");
            }
        }
    }
    if is_good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
