//! Tests of half-open connections of callers, endpoints and the platform whose packets are dropped.
//!
//! Only the operating systems of the two ends answer probes on such connections, so that TCP
//! keepalive has to detect their loss.

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::CallerAnswer;
use pomeloramp_testutils::caller::whole_draft;
use pomeloramp_testutils::fleet::COMMIT_SERVICE;
use pomeloramp_testutils::fleet::DRAFT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::fleet_text::template;
use pomeloramp_testutils::http;
use pomeloramp_testutils::relay::Relay;
use pomeloramp_testutils::status;
use serde_json::json;

/// Longer than any limit in these tests, so that no caller gives up by itself.
const CALLER_TIMEOUT: Duration = Duration::from_secs(90);
/// Far above the 3 s after which a silent connection to an endpoint is closed, and below the limit
/// of a connection from a caller.
const DETECTION_LIMIT: Duration = Duration::from_secs(9);
const LONG_DEADLINE_MS: u64 = 120_000;
const LONG_STREAM_TOKENS: u32 = 1200;
const STREAM_TOKENS: u32 = 40;
const BODY: &str = "{\"wire_mm\":4}";

fn caller() -> Caller {
    Caller::new(ORGANISATIONS[0], CALLER_TIMEOUT)
}

fn flags(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

fn entry(fleet: &Fleet, index: usize) -> &str {
    &fleet.entries[index].caller_address
}

fn executions(fleet: &Fleet, key: &str) -> u64 {
    let name = format!("{}/{key}", ORGANISATIONS[0]);
    fleet.executions().get(&name).copied().unwrap_or(0)
}

fn commit_in_background(address: &str, placement: &str) -> JoinHandle<CallerAnswer> {
    let address = address.to_owned();
    let placement = placement.to_owned();
    thread::spawn(move || caller().commit(&address, "key", &placement, 1, BODY))
}

fn draft_in_background(address: &str, max_tokens: u32) -> JoinHandle<CallerAnswer> {
    let address = address.to_owned();
    thread::spawn(move || caller().draft(&address, "extension spring", max_tokens, true))
}

/// Returns the number of requests that the engines are running.
fn running(fleet: &Fleet) -> u64 {
    let engines = fleet.endpoints.iter();
    engines
        .filter(|vm| vm.service == DRAFT_SERVICE)
        .filter_map(|vm| http::try_get(&format!("http://{}/load", vm.endpoint_address)))
        .map(|load| load["running"].as_u64().unwrap_or(0))
        .sum()
}

fn endpoint_relays(fleet: &Fleet) -> impl Iterator<Item = &Relay> {
    let relays = fleet.endpoints.iter().map(|vm| vm.endpoint_relay.as_ref());
    relays.map(|relay| relay.expect("the plan asks for relays"))
}

/// The only slot of the engine and the only connection of the entry become free.
#[googletest::test]
fn a_silent_caller_loses_its_stream_and_its_slot() {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(1)
        .plain_endpoints(0)
        .engine_flags(flags(&["--token-interval-ms", "50", "--capacity", "1"]))
        .endpoint_settings(flags(&[
            "capacity: 1",
            "max_queued_requests: 64",
            "answer_window_ms: 600000",
            "max_call_records: 10000",
            "max_answer_bytes: 262144",
        ]))
        .entry_settings(one_connection())
        .draft_deadline_ms(LONG_DEADLINE_MS)
        .build();
    let fleet = Fleet::start(plan);
    let relay = Relay::start(entry(&fleet, 0));
    let _silent = draft_in_background(&relay.address(), LONG_STREAM_TOKENS);
    Fleet::wait_for("the stream has begun", || running(&fleet) > 0);
    relay.drop_packets_of_open_connections();
    Fleet::wait_for("the generation stops", || running(&fleet) == 0);
    let next = caller().draft(entry(&fleet, 0), "hook", 2, true);
    expect_that!(whole_draft(&next.body), some(anything()));
}

/// Nothing is written to the caller while its commit runs, so only a keepalive probe can detect the
/// silence.
#[googletest::test]
fn a_silent_caller_that_waits_loses_its_connection() {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(0)
        .entry_settings(one_connection())
        .build();
    let fleet = Fleet::start(plan);
    let relay = Relay::start(entry(&fleet, 0));
    let placement = caller().placement(entry(&fleet, 0)).expect("a placement");
    set_plain_fault(&fleet, "hang");
    let _silent = commit_in_background(&relay.address(), &placement);
    Fleet::wait_for("the call runs", || executions(&fleet, "key") > 0);
    relay.drop_packets_of_open_connections();
    Fleet::wait_for("the only connection is free", || {
        let answer = caller().addresses(entry(&fleet, 0), COMMIT_SERVICE);
        answer.is_some()
    });
    expect_that!(executions(&fleet, "key"), eq(1));
}

fn one_connection() -> Vec<String> {
    flags(&[
        "address_lifetime_ms: 1000",
        "max_body_bytes: 1048576",
        "header_timeout_ms: 5000",
        "default_deadline_ms: 30000",
        "max_connections: 1",
        "endpoints_per_service: 16",
        "retry_budget_percent: 20",
    ])
}

fn set_plain_fault(fleet: &Fleet, mode: &str) {
    for vm in &fleet.endpoints {
        let url = format!("http://{}/admin/faults", vm.endpoint_address);
        http::put(&url, &json!({ "mode": mode }).to_string());
    }
}

#[googletest::test]
fn a_commit_on_a_silent_connection_to_its_endpoint_is_unknown_and_runs_once() {
    let plan = FleetPlan::builder()
        .entries(2)
        .engines(0)
        .plain_flags(flags(&["--work-ms", "1000"]))
        .relay_endpoints(true)
        .build();
    let fleet = Fleet::start(plan);
    let placement = caller().placement(entry(&fleet, 0)).expect("a placement");
    let first = commit_in_background(entry(&fleet, 0), &placement);
    Fleet::wait_for("the call runs", || executions(&fleet, "key") > 0);
    endpoint_relays(&fleet).for_each(Relay::drop_packets_of_open_connections);
    let silent_since = Instant::now();
    let first = first.join().expect("no panic");
    expect_that!(first.outcome, eq("unknown"));
    expect_that!(silent_since.elapsed(), lt(DETECTION_LIMIT));
    let resend = caller().commit(entry(&fleet, 1), "key", &placement, 2, BODY);
    expect_that!(resend.outcome, eq("unknown"));
    expect_that!(executions(&fleet, "key"), eq(1));
    let other = caller().commit(entry(&fleet, 1), "other", &placement, 1, BODY);
    expect_that!(
        other.outcome,
        eq("ran"),
        "a new call takes a new connection"
    );
}

#[googletest::test]
fn a_stream_on_a_silent_connection_to_its_engine_is_resumed_and_whole() {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(1)
        .plain_endpoints(0)
        .engine_flags(flags(&["--token-interval-ms", "50"]))
        .relay_endpoints(true)
        .build();
    let fleet = Fleet::start(plan);
    let undisturbed = caller().draft(entry(&fleet, 0), "extension spring", STREAM_TOKENS, true);
    Fleet::wait_for("the engine has ended the stream", || running(&fleet) == 0);
    let draft = draft_in_background(entry(&fleet, 0), STREAM_TOKENS);
    Fleet::wait_for("the stream has begun", || running(&fleet) > 0);
    endpoint_relays(&fleet).for_each(Relay::drop_packets_of_open_connections);
    let draft = draft.join().expect("no panic");
    expect_that!(whole_draft(&draft.body), some(anything()), "{}", draft.body);
    expect_that!(
        whole_draft(&draft.body),
        eq(&whole_draft(&undisturbed.body))
    );
}

#[googletest::test]
fn a_change_comes_into_force_although_every_watch_went_silent() {
    let fleet = Fleet::start(platform_plan());
    platform_relay(&fleet).drop_packets_of_open_connections();
    let text = template(COMMIT_SERVICE, "plain", false).replace("10000", "9000");
    fleet.publish_template(COMMIT_SERVICE, &text);
    let published = published_revision(&fleet);
    wait_until_in_force(&fleet, published);
    // The watches have been replaced, so the next change does not wait for a silent connection to
    // be detected.
    let text = text.replace("9000", "8000");
    fleet.publish_template(COMMIT_SERVICE, &text);
    wait_until_in_force(&fleet, published + 1);
}

#[googletest::test]
fn a_vm_is_found_although_reads_of_the_list_went_silent() {
    let mut fleet = Fleet::start(platform_plan());
    fleet.set_platform_faults(&json!({ "vm_list": "slow", "slow_ms": 2000 }));
    // Every entry reads the list five times a second, so that slow reads are in progress now.
    thread::sleep(Duration::from_secs(1));
    platform_relay(&fleet).drop_packets_of_open_connections();
    fleet.set_platform_faults(&json!({ "vm_list": "none" }));
    fleet.add_endpoint(COMMIT_SERVICE);
    fleet.publish_vms();
    for index in 0..fleet.entries.len() {
        let url = format!(
            "http://{}/v1/endpoints?service={COMMIT_SERVICE}",
            entry(&fleet, index)
        );
        Fleet::wait_for("the new endpoint is known", || {
            http::try_get(&url).unwrap_or_default()["usable"] == 2
        });
    }
}

fn platform_plan() -> FleetPlan {
    FleetPlan::builder()
        .engines(0)
        .control_settings(flags(&[
            "heartbeat_interval_ms: 200",
            "suspect_after_ms: 1000",
            "vm_list_interval_ms: 200",
            "watch_wait_ms: 30000",
            "peer_exchange_interval_ms: 200",
            "config_readers_per_zone: 2",
            "connect_timeout_ms: 500",
            "keepalive_interval_ms: 500",
            "keepalive_timeout_ms: 500",
        ]))
        .relay_platform(true)
        .build()
}

fn platform_relay(fleet: &Fleet) -> &Relay {
    let relay = fleet.platform_relay.as_ref();
    relay.expect("the plan asks for a relay")
}

fn published_revision(fleet: &Fleet) -> u64 {
    let url = format!(
        "http://{}/config/watch?after=0&wait_ms=0",
        fleet.platform_address
    );
    let published = http::try_get(&url).unwrap_or_default();
    published["revision"].as_u64().expect("a revision")
}

fn wait_until_in_force(fleet: &Fleet, revision: u64) {
    let processes = fleet.entries.len() + fleet.endpoints.len();
    Fleet::wait_for("the change is in force everywhere", || {
        let revisions = status::revisions(fleet);
        let in_force = revisions.values().filter(|held| **held >= revision);
        in_force.count() == processes
    });
}
