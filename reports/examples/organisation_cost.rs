//! Prints what one more organisation costs an agent in time and memory.
//!
//! Run with `cargo run --release -p pomeloramp-reports --example organisation_cost -- SEED`.

use std::env;

use pomeloramp_reports::CAPACITY;
use pomeloramp_reports::DEFAULT_SEED;
use pomeloramp_reports::REQUESTS;
use pomeloramp_reports::organisation_bytes;
use pomeloramp_reports::organisation_times;

fn main() {
    let seed = env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}, {REQUESTS} requests, capacity {CAPACITY}");
    println!("organisations  queue_ns_per_request  ledger_ns_per_request  set_parameters_us");
    for row in organisation_times(seed) {
        println!(
            "{:13}  {:20}  {:21}  {:17}",
            row.organisations,
            row.queue_ns_per_request,
            row.ledger_ns_per_request,
            row.set_parameters_us,
        );
    }
    println!("organisations  parameters_bytes_each  queue_bytes_each  ledger_bytes_each");
    for row in organisation_bytes() {
        println!(
            "{:13}  {:21}  {:16}  {:17}",
            row.organisations,
            row.parameters_bytes_each,
            row.queue_bytes_each,
            row.ledger_bytes_each,
        );
    }
}
