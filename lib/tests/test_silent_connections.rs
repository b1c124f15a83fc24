//! Tests of connections that go silent for good while new ones work, and of network partitions.

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
use pomeloramp_testutils::http;
use pomeloramp_testutils::relay::Relay;

const TIMEOUT: Duration = Duration::from_secs(15);
const REPLACED_WITHIN: Duration = Duration::from_secs(4);
/// Maximum number of keys to try until each of the two endpoints is the home of one.
const MAX_KEYS: u32 = 64;
const LONGER_THAN_KEEPALIVE: Duration = Duration::from_secs(3);
const BODY: &str = "{\"wire_mm\":4}";

fn entry(fleet: &Fleet, index: usize) -> &str {
    &fleet.entries[index].caller_address
}

fn agent_relays(fleet: &Fleet) -> impl Iterator<Item = &Relay> {
    let relays = fleet.endpoints.iter().map(|vm| vm.peer_relay.as_ref());
    relays.map(|relay| relay.expect("the plan asks for relays"))
}

fn silence(fleet: &Fleet) {
    agent_relays(fleet).for_each(Relay::silence_open_connections);
}

fn executions(fleet: &Fleet, key: &str) -> u64 {
    let name = format!("{}/{key}", ORGANISATIONS[0]);
    fleet.executions().get(&name).copied().unwrap_or(0)
}

fn caller() -> Caller {
    Caller::new(ORGANISATIONS[0], TIMEOUT)
}

#[googletest::test]
fn a_silent_connection_is_replaced_and_new_calls_are_answered() {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(1)
        .relay_peers(true)
        .build();
    let fleet = Fleet::start(plan);
    silence(&fleet);
    let started = Instant::now();
    Fleet::wait_for("a draft is answered whole", || {
        let draft = caller().draft(entry(&fleet, 0), "extension spring", 3, true);
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
        .relay_peers(true)
        .build();
    let fleet = Fleet::start(plan);
    let entry = entry(&fleet, 0).to_owned();
    let undisturbed = caller().draft(&entry, "extension spring", 40, true);
    let draft = thread::spawn(move || caller().draft(&entry, "extension spring", 40, true));
    thread::sleep(Duration::from_millis(700));
    silence(&fleet);
    let draft = draft.join().expect("no panic");
    expect_that!(whole_draft(&draft.body), some(anything()));
    expect_that!(
        whole_draft(&draft.body),
        eq(&whole_draft(&undisturbed.body))
    );
}

/// Pings are answered between the tokens, so that the connection does not count as silent.
#[googletest::test]
fn a_stream_whose_tokens_are_far_apart_is_not_cut() {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(1)
        .engine_flags(vec!["--token-interval-ms".to_owned(), "2500".to_owned()])
        .build();
    let fleet = Fleet::start(plan);
    let draft = caller().draft(entry(&fleet, 0), "extension spring", 3, true);
    expect_that!(whole_draft(&draft.body), some(anything()));
    expect_that!(begins_at_engine(&fleet), eq(1));
}

/// The agent seems silent to the entry only because the entry itself was suspended.
#[googletest::test]
fn a_stream_of_an_entry_that_was_suspended_is_whole() {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(1)
        .engine_flags(vec!["--token-interval-ms".to_owned(), "50".to_owned()])
        .build();
    let fleet = Fleet::start(plan);
    let address = entry(&fleet, 0).to_owned();
    let undisturbed = caller().draft(&address, "extension spring", 40, true);
    let draft = thread::spawn(move || caller().draft(&address, "extension spring", 40, true));
    Fleet::wait_for("the second stream has begun", || {
        begins_at_engine(&fleet) == 2
    });
    fleet.entries[0].daemon.pause();
    thread::sleep(LONGER_THAN_KEEPALIVE);
    fleet.entries[0].daemon.resume();
    let draft = draft.join().expect("no panic");
    expect_that!(whole_draft(&draft.body), some(anything()));
    expect_that!(
        whole_draft(&draft.body),
        eq(&whole_draft(&undisturbed.body))
    );
}

/// Returns how many streams the only engine has begun.
fn begins_at_engine(fleet: &Fleet) -> u64 {
    let engine = &fleet.endpoints[0].endpoint_address;
    let counts = http::try_get(&format!("http://{engine}/admin/executions")).unwrap_or_default();
    let by_request = counts["by_request"].as_object().cloned();
    let begins = by_request.unwrap_or_default();
    begins.values().filter_map(serde_json::Value::as_u64).sum()
}

#[googletest::test]
fn a_commit_in_flight_on_a_silent_connection_runs_once() {
    let plan = FleetPlan::builder()
        .entries(2)
        .engines(0)
        .plain_flags(vec!["--work-ms".to_owned(), "600".to_owned()])
        .relay_peers(true)
        .build();
    let fleet = Fleet::start(plan);
    let placement = caller().placement(entry(&fleet, 0)).expect("a placement");
    let first_entry = entry(&fleet, 0).to_owned();
    let first_placement = placement.clone();
    let first =
        thread::spawn(move || caller().commit(&first_entry, "key", &first_placement, 1, BODY));
    Fleet::wait_for("the call reaches its endpoint", || {
        executions(&fleet, "key") > 0
    });
    silence(&fleet);
    let first = first.join().expect("no panic");
    expect_that!(first.outcome, eq("unknown"));
    let mut second = first;
    Fleet::wait_for("a resend receives the answer", || {
        second = caller().commit(entry(&fleet, 1), "key", &placement, 2, BODY);
        second.outcome == "ran"
    });
    expect_that!(executions(&fleet, "key"), eq(1));
}

#[googletest::test]
fn callers_on_both_sides_of_a_partition_run_a_call_once() {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(0)
        .plain_endpoints(2)
        .relay_peers(true)
        .build();
    let mut fleet = Fleet::start(plan);
    let placement = caller().placement(entry(&fleet, 0)).expect("a placement");
    // The first entry keeps its connection to the first endpoint; the second entry can't open one.
    let unreachable = agent_relays(&fleet).next().expect("an agent");
    unreachable.refuse_new_connections();
    let second = add_entry_that_reaches_one_endpoint(&mut fleet);

    let mut lost = Vec::new();
    let mut answered = Vec::new();
    for number in 0..MAX_KEYS {
        let key = format!("key-{number}");
        let first = caller().commit(entry(&fleet, 0), &key, &placement, 1, BODY);
        expect_that!(first.outcome, eq("ran"));
        let resend = caller().commit(entry(&fleet, second), &key, &placement, 2, BODY);
        expect_that!(executions(&fleet, &key), eq(1), "{key}");
        match resend.outcome.as_str() {
            "ran" => answered.push(key),
            "unknown" => lost.push(key),
            other => panic!("the outcome of {key} is \"{other}\" after it had run"),
        }
        if !lost.is_empty() && !answered.is_empty() {
            break;
        }
    }
    expect_that!(
        lost,
        not(is_empty()),
        "no key is bound to the first endpoint"
    );
    let key_begun_in_partition = begin_in_partition(&fleet, second, &placement);

    agent_relays(&fleet).for_each(Relay::heal);
    for key in lost.iter().chain(&answered) {
        Fleet::wait_for("a resend receives the answer", || {
            let resend = caller().commit(entry(&fleet, second), key, &placement, 3, BODY);
            resend.outcome == "ran"
        });
        expect_that!(executions(&fleet, key), eq(1), "{key}");
    }
    expect_that!(executions(&fleet, &key_begun_in_partition), eq(0));
}

/// Adds an entry that can reach only one of the two plain endpoints.
fn add_entry_that_reaches_one_endpoint(fleet: &mut Fleet) -> usize {
    let index = fleet.add_entry();
    fleet.publish_vms();
    let url = format!(
        "http://{}/v1/endpoints?service={COMMIT_SERVICE}",
        entry(fleet, index)
    );
    Fleet::wait_for("the second entry reaches one endpoint", || {
        let known = http::try_get(&url).unwrap_or_default();
        known["usable"] == 1 && known["configured"] == true
    });
    index
}

/// Sends a new key through an entry that can't reach the key's home, and returns the key.
fn begin_in_partition(fleet: &Fleet, entry_index: usize, placement: &str) -> String {
    for number in 0..MAX_KEYS {
        let key = format!("begun-in-partition-{number}");
        let answer = caller().commit(entry(fleet, entry_index), &key, placement, 1, BODY);
        if answer.outcome != "ran" {
            expect_that!(executions(fleet, &key), eq(0));
            return key;
        }
    }
    panic!("none of {MAX_KEYS} keys is bound to the first endpoint");
}
