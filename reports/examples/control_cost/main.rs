//! Prints what control traffic costs an entry daemon, against the size of the fleet.
//!
//! Run with `cargo run --release -p pomeloramp-reports --example control_cost -- SEED`. Bytes are
//! those of HTTP/2 on the connection, as counted on loopback; the headers of TCP and IP are not
//! among them.

mod patches;
mod templates;
mod words;

use std::env;
use std::time::Duration;

use pomeloramp_reports::ControlRow;
use pomeloramp_reports::DEFAULT_SEED;
use pomeloramp_reports::RpcCost;
use pomeloramp_reports::SERVICES;
use pomeloramp_reports::control_rows;
use pomeloramp_reports::exchange_cost;
use pomeloramp_reports::exchange_reply;
use pomeloramp_reports::heartbeat_cost;
use pomeloramp_reports::idle_bytes_per_s;

const PROBE_INTERVAL: Duration = Duration::from_secs(1);

fn main() {
    let seed = env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed: u64 = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}");
    words::print_costs(seed);
    let heartbeat = heartbeat_cost();
    print_rpc("heartbeat", &heartbeat);
    print_rpc(
        "exchange without news",
        &exchange_cost(0, &exchange_reply()),
    );
    print_rpc(
        "exchange that asks for values",
        &exchange_cost(SERVICES, &exchange_reply()),
    );
    let idle_bytes = idle_bytes_per_s(PROBE_INTERVAL);
    println!("idle connection probed every second: {idle_bytes} bytes a second");
    println!(
        "daemons  servers  choice                     endpoints  heartbeats_per_s  bytes_per_s  view_cpu_ns_per_heartbeat  subset_ms"
    );
    for row in control_rows(seed, &heartbeat) {
        print_row(&row);
    }
    templates::print_costs();
    patches::print_costs(SERVICES);
    templates::print_vm_list();
}

fn print_rpc(name: &str, cost: &RpcCost) {
    println!(
        "{name}: message bytes {} + {}, connection bytes {} + {}, CPU {} ns at both ends together",
        cost.request_bytes, cost.reply_bytes, cost.sent_bytes, cost.received_bytes, cost.cpu_ns
    );
}

fn print_row(row: &ControlRow) {
    println!(
        "{:7}  {:7}  {:25}  {:9}  {:16}  {:11}  {:25}  {:9}",
        row.daemons,
        row.servers,
        row.choice.name,
        row.endpoints,
        row.heartbeats_per_s,
        row.bytes_per_s,
        row.view_ns_per_heartbeat,
        row.subset_ms,
    );
}
