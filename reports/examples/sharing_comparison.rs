//! Compares the fair queue with one line for all, on floods and on owners who come back.
//!
//! Run with `cargo run --release -p pomeloramp-reports --example sharing_comparison -- SEED`.

use std::env;

use pomeloramp_reports::CAPACITY;
use pomeloramp_reports::DEFAULT_SEED;
use pomeloramp_reports::Discipline;
use pomeloramp_reports::ORGANISATIONS;
use pomeloramp_reports::SharingLoad;
use pomeloramp_reports::SharingRow;

fn main() {
    let seed = env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}, capacity {CAPACITY}, {ORGANISATIONS} organisations with equal shares");
    println!(
        "scenario             discipline   organisation  answered  refused  wait_p50_ms  wait_p95_ms  wait_p99_ms  wait_max_ms"
    );
    for load in &SharingLoad::ALL {
        for discipline in Discipline::ALL {
            let result = load.run(discipline, seed);
            print_row(load.name, discipline, &result.first);
            print_row(load.name, discipline, &result.others);
        }
    }
}

fn print_row(load: &str, discipline: Discipline, row: &SharingRow) {
    println!(
        "{load:20}  {:11}  {:12}  {:8}  {:7}  {:11}  {:11}  {:11}  {:11}",
        discipline.name(),
        row.who,
        row.answered,
        row.refused,
        row.wait_p50_ms,
        row.wait_p95_ms,
        row.wait_p99_ms,
        row.wait_max_ms,
    );
}
