//! Connections that go silent for good while new ones work, and cut links.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::whole_draft;
use pomeloramp_testutils::fleet::COMMIT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::relay::Relay;

const TIMEOUT: Duration = Duration::from_secs(15);
const REPLACED_WITHIN: Duration = Duration::from_secs(4);
const BODY: &str = "{\"wire_mm\":4}";

/// A fleet whose agents are reached through relays.
struct RelayedFleet {
    fleet: Fleet,
    relays: Vec<Relay>,
}

fn start(plan: FleetPlan) -> RelayedFleet {
    let mut fleet = Fleet::start(plan);
    let agents: Vec<(String, String)> = fleet
        .endpoints
        .iter()
        .map(|vm| (vm.vm_name.clone(), vm.peer_address.clone()))
        .collect();
    let mut relays = Vec::new();
    for (vm_name, peer_address) in agents {
        let relay = Relay::start(&peer_address);
        fleet.list_peer_address(&vm_name, &relay.address());
        relays.push(relay);
    }
    let relayed = RelayedFleet { fleet, relays };
    relayed.wait_until_relayed();
    relayed
}

impl RelayedFleet {
    fn entry(&self, index: usize) -> &str {
        &self.fleet.entries[index].caller_address
    }

    fn silence(&self) {
        for relay in &self.relays {
            relay.silence_open_connections();
        }
    }

    fn wait_until_relayed(&self) {
        for entry in &self.fleet.entries {
            Fleet::wait_for("calls pass the relays", || {
                let placement = caller()
                    .placement(&entry.caller_address)
                    .unwrap_or_default();
                let key = format!("probe-{}", entry.vm_name);
                let heard = caller().commit(&entry.caller_address, &key, &placement, 1, BODY);
                heard.outcome == "ran" && self.relays.iter().all(Relay::has_connections)
            });
        }
    }

    fn executions(&self, key: &str) -> u64 {
        let name = format!("{}/{key}", ORGANISATIONS[0]);
        self.fleet.executions().get(&name).copied().unwrap_or(0)
    }
}

fn caller() -> Caller {
    Caller::new(ORGANISATIONS[0], TIMEOUT)
}

#[googletest::test]
fn a_silent_connection_is_replaced_and_new_calls_are_answered() {
    let plan = FleetPlan::builder().entries(1).engines(1).build();
    let relayed = start(plan);
    relayed.silence();
    let started = Instant::now();
    Fleet::wait_for("a draft is answered whole", || {
        let draft = caller().draft(relayed.entry(0), "extension spring", 3, true);
        whole_draft(&draft.body).is_some()
    });
    expect_that!(started.elapsed(), lt(REPLACED_WITHIN));
}

#[googletest::test]
fn a_stream_on_a_silent_connection_is_resumed_and_whole() {
    check_resumed_stream(2);
}

#[googletest::test]
fn a_stream_is_resumed_at_its_only_endpoint() {
    check_resumed_stream(1);
}

fn check_resumed_stream(engines: usize) {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(engines)
        .engine_flags(vec!["--token-interval-ms".to_owned(), "50".to_owned()])
        .build();
    let relayed = start(plan);
    let entry = relayed.entry(0).to_owned();
    let undisturbed = caller().draft(&entry, "extension spring", 40, true);
    let draft = thread::spawn(move || caller().draft(&entry, "extension spring", 40, true));
    thread::sleep(Duration::from_millis(700));
    relayed.silence();
    let draft = draft.join().expect("no panic");
    expect_that!(whole_draft(&draft.body), some(anything()));
    expect_that!(
        whole_draft(&draft.body),
        eq(&whole_draft(&undisturbed.body))
    );
}

#[googletest::test]
fn a_commit_in_flight_on_a_silent_connection_runs_once() {
    let plan = FleetPlan::builder()
        .entries(2)
        .engines(0)
        .plain_flags(vec!["--work-ms".to_owned(), "600".to_owned()])
        .build();
    let relayed = start(plan);
    let placement = caller().placement(relayed.entry(0)).expect("a placement");
    let entry = relayed.entry(0).to_owned();
    let first_placement = placement.clone();
    let first = thread::spawn(move || caller().commit(&entry, "key", &first_placement, 1, BODY));
    Fleet::wait_for("the call reaches its endpoint", || {
        relayed.executions("key") > 0
    });
    relayed.silence();
    let first = first.join().expect("no panic");
    expect_that!(first.outcome, eq("unknown"));
    let mut second = first;
    Fleet::wait_for("a resend hears the answer", || {
        second = caller().commit(relayed.entry(1), "key", &placement, 2, BODY);
        second.outcome == "ran"
    });
    expect_that!(relayed.executions("key"), eq(1));
}

#[googletest::test]
fn callers_on_both_sides_of_a_partition_run_a_call_once() {
    let plan = FleetPlan::builder()
        .entries(2)
        .engines(0)
        .plain_endpoints(2)
        .build();
    let mut relayed = start(plan);
    let placement = caller().placement(relayed.entry(0)).expect("a placement");
    for relay in &relayed.relays {
        relay.cut();
    }
    let first = caller().commit(relayed.entry(0), "key", &placement, 2, BODY);
    expect_that!(first.outcome, eq("unknown"));
    let names: Vec<String> = relayed
        .fleet
        .endpoints
        .iter()
        .filter(|vm| vm.service == COMMIT_SERVICE)
        .map(|vm| vm.vm_name.clone())
        .collect();
    for name in &names {
        relayed.fleet.remove_from_list(name);
    }
    for relay in &relayed.relays {
        relay.mend();
    }
    let mut second = first;
    Fleet::wait_for("a resend hears the answer", || {
        second = caller().commit(relayed.entry(1), "key", &placement, 3, BODY);
        second.outcome == "ran"
    });
    expect_that!(relayed.executions("key"), eq(1));
}
