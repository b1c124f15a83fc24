//! Starts a local fleet, sends calls through it and prints what happened.

use std::time::Duration;

use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::whole_draft;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;

const TIMEOUT: Duration = Duration::from_secs(10);

fn main() {
    let plan = FleetPlan::builder().engines(3).plain_endpoints(3).build();
    let mut fleet = Fleet::start(plan);
    print_members(&fleet);
    let caller = Caller::new(ORGANISATIONS[0], TIMEOUT);
    send_draft(&fleet, &caller, 0);
    send_commit(&fleet, &caller, 0, "order-1");

    println!("killing {}", fleet.entries[0].vm_name);
    fleet.entries[0].daemon.kill();
    send_draft(&fleet, &caller, 1);
    send_commit(&fleet, &caller, 1, "order-2");

    println!("killing the engine of {}", fleet.endpoints[0].vm_name);
    fleet.endpoints[0].endpoint.kill();
    send_draft(&fleet, &caller, 2);
    for (key, count) in fleet.executions() {
        println!("{key} ran {count} time(s)");
    }
}

fn print_members(fleet: &Fleet) {
    for entry in &fleet.entries {
        println!(
            "{} serves callers at {}",
            entry.vm_name, entry.caller_address
        );
    }
    for endpoint in &fleet.endpoints {
        println!("{} serves {}", endpoint.vm_name, endpoint.service);
    }
}

fn send_draft(fleet: &Fleet, caller: &Caller, entry: usize) {
    let entry = &fleet.entries[entry];
    let heard = caller.draft(&entry.caller_address, "torsion spring, 4 mm wire", 8, true);
    match whole_draft(&heard.body) {
        Some(text) => println!("draft through {}: {text}", entry.vm_name),
        None => println!("draft through {} was cut: {}", entry.vm_name, heard.body),
    }
}

fn send_commit(fleet: &Fleet, caller: &Caller, entry: usize, key: &str) {
    let entry = &fleet.entries[entry];
    let Some(placement) = caller.placement(&entry.caller_address) else {
        println!("{} gave no placement", entry.vm_name);
        return;
    };
    let heard = caller.commit(&entry.caller_address, key, &placement, 1, "{\"wire_mm\":4}");
    println!(
        "commit {key} through {}: {} {}",
        entry.vm_name, heard.outcome, heard.body
    );
}
