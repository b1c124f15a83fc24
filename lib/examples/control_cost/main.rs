//! Prints what control traffic costs an entry daemon, against the size of the fleet.
//!
//! Run with `cargo run --release -p pomeloramp-lib --example control_cost -- SEED`. Bytes are those of
//! HTTP/2 on the connection, as counted on loopback; the headers of TCP and IP are not among them.

mod cpu_time;
mod fleet;
mod patches;
mod templates;
mod wire;
mod words;

use std::env;
use std::time::Duration;

use fleet::Fleet;
use wire::RpcCost;

const DEFAULT_SEED: u64 = 20_261_203;
const DAEMONS: [usize; 4] = [10, 50, 150, 390];
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const SERVICES: usize = 22;
const ENDPOINTS_PER_SERVICE: usize = 8;
const SERVICES_PER_ENTRY: usize = 4;

fn main() {
    let seed = env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed: u64 = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}");
    words::print_costs(seed);
    let heartbeat = wire::heartbeat_cost();
    print_rpc("heartbeat", &heartbeat);
    print_rpc(
        "exchange without news",
        &wire::exchange_cost(0, &wire::exchange_reply()),
    );
    print_rpc(
        "exchange that asks for values",
        &wire::exchange_cost(SERVICES, &wire::exchange_reply()),
    );
    let idle_bytes = wire::idle_bytes_per_s(PROBE_INTERVAL);
    println!("idle connection probed every second: {idle_bytes} bytes a second");
    print_fleets(seed, &heartbeat);
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

fn print_fleets(seed: u64, heartbeat: &RpcCost) {
    println!(
        "daemons  servers  choice                     endpoints  heartbeats_per_s  bytes_per_s  view_cpu_ns_per_heartbeat  subset_ms"
    );
    for daemons in DAEMONS {
        let fleet = Fleet::new(daemons, SERVICES, seed);
        let choices = [
            ("all endpoints", SERVICES, usize::MAX),
            ("8 of each service", SERVICES, ENDPOINTS_PER_SERVICE),
            (
                "8 of each of 4 services",
                SERVICES_PER_ENTRY,
                ENDPOINTS_PER_SERVICE,
            ),
        ];
        for (name, services, size) in choices {
            let traffic = fleet.heartbeat_traffic(services, size);
            let bytes =
                traffic.heartbeats_per_s * (heartbeat.sent_bytes + heartbeat.received_bytes);
            println!(
                "{daemons:7}  {:7}  {name:25}  {:9}  {:16}  {bytes:11}  {:25}  {:9}",
                fleet.servers(),
                traffic.endpoints,
                traffic.heartbeats_per_s,
                traffic.view_ns_per_heartbeat,
                traffic.subset_ms,
            );
        }
    }
}
