//! Tests of what an entry learns about agents from requests, between two heartbeats.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::Placement;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::CallerAnswer;
use pomeloramp_testutils::fleet::COMMIT_SERVICE;
use pomeloramp_testutils::fleet::DRAFT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::http;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);
const PEER_KEY: &[u8] = b"local-fleet-of-tests";
/// Heartbeats so rare that requests almost always provide information first, and a timeout that
/// rules out suspicion because of missing heartbeats.
const RARE_HEARTBEATS: [&str; 9] = [
    "heartbeat_interval_ms: 10000",
    "suspect_after_ms: 600000",
    "vm_list_interval_ms: 200",
    "watch_wait_ms: 5000",
    "peer_exchange_interval_ms: 200",
    "config_readers_per_zone: 2",
    "connect_timeout_ms: 500",
    "keepalive_interval_ms: 500",
    "keepalive_timeout_ms: 500",
];

fn fleet() -> Fleet {
    Fleet::start(
        FleetPlan::builder()
            .entries(1)
            .engines(2)
            .plain_endpoints(3)
            .control_settings(RARE_HEARTBEATS.map(str::to_owned).to_vec())
            .build(),
    )
}

fn caller() -> Caller {
    Caller::new(ORGANISATIONS[0], TIMEOUT)
}

/// Returns the VM names of the agents to which a placement binds calls.
fn home_agents(placement: &str) -> Vec<String> {
    let placement = Placement::decode(placement, PEER_KEY, COMMIT_SERVICE).expect("a placement");
    let homes = placement.homes().iter();
    homes.map(|home| home.vm_name.clone()).collect()
}

/// Returns the first call key with the given prefix that the placement binds to the agent.
fn key_bound_to(placement: &str, vm_name: &str, prefix: &str) -> String {
    let placement = Placement::decode(placement, PEER_KEY, COMMIT_SERVICE).expect("a placement");
    let is_home = |key: &String| {
        let home = placement.home(ORGANISATIONS[0], key);
        home.is_some_and(|home| home.vm_name == vm_name)
    };
    let mut keys = (0..1_000).map(|number| format!("{prefix}-{number}"));
    keys.find(is_home).expect("an agent is home of some key")
}

fn commit(fleet: &Fleet, placement: &str, key: &str) -> CallerAnswer {
    let entry = &fleet.entries[0].caller_address;
    caller().commit(entry, key, placement, 1, "{}")
}

fn placement(fleet: &Fleet) -> String {
    let entry = &fleet.entries[0].caller_address;
    caller().placement(entry).expect("a placement")
}

fn usable_endpoints(fleet: &Fleet, service: &str) -> u64 {
    let entry = &fleet.entries[0].caller_address;
    let answer = http::try_get(&format!("http://{entry}/v1/endpoints?service={service}"));
    answer.unwrap_or_default()["usable"].as_u64().unwrap_or(0)
}

fn plain_endpoint(fleet: &Fleet) -> usize {
    let position = fleet
        .endpoints
        .iter()
        .position(|vm| vm.service == COMMIT_SERVICE);
    position.expect("a plain endpoint")
}

#[googletest::test]
fn placements_leave_out_a_killed_agent_from_its_first_failed_call_until_its_next_report() {
    let mut fleet = fleet();
    let index = plain_endpoint(&fleet);
    let killed = fleet.endpoints[index].vm_name.clone();
    let signed_placement = placement(&fleet);
    expect_that!(home_agents(&signed_placement), contains(eq(&killed)));
    fleet.endpoints[index].agent.kill();

    let failed = commit(
        &fleet,
        &signed_placement,
        &key_bound_to(&signed_placement, &killed, "order"),
    );
    expect_that!(failed.status, not(eq(200)));
    expect_that!(home_agents(&placement(&fleet)), not(contains(eq(&killed))));
    expect_that!(usable_endpoints(&fleet, COMMIT_SERVICE), eq(2));

    fleet.restart_agent(index);
    Fleet::wait_for("the agent is a home again", || {
        home_agents(&placement(&fleet)).contains(&killed)
    });
}

#[googletest::test]
fn drafts_avoid_a_killed_agent_after_one_failed_attempt() {
    let mut fleet = fleet();
    let entry = fleet.entries[0].caller_address.clone();
    let index = fleet
        .endpoints
        .iter()
        .position(|vm| vm.service == DRAFT_SERVICE);
    fleet.endpoints[index.expect("an engine")].agent.kill();
    // A prompt may go to either engine; every draft must be complete nevertheless.
    let mut draft_number = 0;
    Fleet::wait_for("a draft was tried at the killed agent", || {
        draft_number += 1;
        let draft = caller().draft(&entry, &format!("spring {draft_number}"), 2, false);
        expect_that!(draft.status, eq(200));
        usable_endpoints(&fleet, DRAFT_SERVICE) == 1
    });
}

#[googletest::test]
fn a_refusal_reports_that_its_agent_is_leaving() {
    let fleet = fleet();
    let index = plain_endpoint(&fleet);
    let leaving = &fleet.endpoints[index];
    let signed_placement = placement(&fleet);
    // A call that never ends prevents the agent from shutting down.
    let faults = format!("http://{}/admin/faults", leaving.endpoint_address);
    http::put(&faults, &json!({ "mode": "hang" }).to_string());
    let hanging = key_bound_to(&signed_placement, &leaving.vm_name, "hanging");
    let entry = fleet.entries[0].caller_address.clone();
    let (sent, key) = (signed_placement.clone(), hanging.clone());
    std::thread::spawn(move || caller().commit(&entry, &key, &sent, 1, "{}"));
    let execution_key = format!("{}/{hanging}", ORGANISATIONS[0]);
    Fleet::wait_for("the call runs", || {
        fleet.executions().contains_key(&execution_key)
    });
    leaving.agent.terminate();

    let impatient = Caller::new(ORGANISATIONS[0], Duration::from_secs(1));
    let mut sent = 0;
    Fleet::wait_for("the agent refuses", || {
        // A call that is admitted before the signal takes effect hangs, so each attempt is a new
        // call.
        sent += 1;
        let key = key_bound_to(&signed_placement, &leaving.vm_name, &format!("late-{sent}"));
        let entry = &fleet.entries[0].caller_address;
        impatient
            .commit(entry, &key, &signed_placement, 1, "{}")
            .code()
            == "draining"
    });
    expect_that!(
        home_agents(&placement(&fleet)),
        not(contains(eq(&leaving.vm_name)))
    );
}
