//! Requests that crash each endpoint that runs them.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::whole_draft;
use pomeloramp_testutils::fleet::DRAFT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::http;
use pomeloramp_testutils::status;

const TIMEOUT: Duration = Duration::from_secs(15);
const FLEET_WIDE_WITHIN: Duration = Duration::from_secs(1);
const REFUSED_AT_ONCE: Duration = Duration::from_millis(500);
/// A third of the interval of heartbeats and exchanges; the word itself takes milliseconds.
const SOONER_THAN_CONTROL_TRAFFIC: Duration = Duration::from_secs(3);
const MAX_LOST_ENDPOINTS: usize = 2;
const CRASHING_PROMPT: &str = "CRASH this engine";
const INNOCENT_PROMPTS: [&str; 4] = ["wire", "coil", "hook", "loop"];

fn start() -> Fleet {
    let plan = FleetPlan::builder()
        .engines(5)
        .plain_endpoints(0)
        .engine_flags(vec!["--token-interval-ms".to_owned(), "20".to_owned()])
        .build();
    Fleet::start(plan)
}

fn caller() -> Caller {
    Caller::new(ORGANISATIONS[0], TIMEOUT)
}

fn lost_engines(fleet: &mut Fleet) -> usize {
    fleet
        .endpoints
        .iter_mut()
        .filter(|vm| vm.service == DRAFT_SERVICE)
        .filter_map(|vm| (!vm.endpoint.is_running()).then_some(()))
        .count()
}

#[googletest::test]
fn crashing_content_is_refused_fleet_wide_after_two_endpoints() {
    let mut fleet = start();
    let first = caller().draft(&fleet.entries[0].caller_address, CRASHING_PROMPT, 8, false);
    let refused_at = Instant::now();
    expect_that!(first.code(), eq("quarantined"));
    expect_that!(lost_engines(&mut fleet), le(MAX_LOST_ENDPOINTS));

    for entry in 1..fleet.entries.len() {
        let address = fleet.entries[entry].caller_address.clone();
        let sent = Instant::now();
        let resend = caller().draft(&address, CRASHING_PROMPT, 8, false);
        expect_that!(resend.code(), eq("quarantined"));
        expect_that!(resend.outcome, eq("not-run"));
        expect_that!(sent.elapsed(), lt(REFUSED_AT_ONCE));
    }
    expect_that!(refused_at.elapsed(), lt(FLEET_WIDE_WITHIN));
    expect_that!(lost_engines(&mut fleet), le(MAX_LOST_ENDPOINTS));
}

/// Heartbeats and exchanges are far apart here, so that only the push between peers brings the word.
#[googletest::test]
fn eight_entries_and_all_agents_know_of_crashing_content_at_once() {
    let plan = FleetPlan::builder()
        .entries(8)
        .engines(5)
        .plain_endpoints(3)
        .control_settings(rare_control_traffic())
        .build();
    let mut fleet = Fleet::start(plan);
    let entry = fleet.entries[0].caller_address.clone();
    let first = caller().draft(&entry, CRASHING_PROMPT, 8, false);
    let refused_at = Instant::now();
    expect_that!(first.code(), eq("quarantined"));
    let processes = fleet.entries.len() + fleet.endpoints.len();
    Fleet::wait_for("every process refuses the content", || {
        let contents = status::run(&fleet, "quarantine");
        contents.len() == 1 && contents[0]["processes"] == processes
    });
    let known_after = refused_at.elapsed();
    println!("known to {processes} processes after {known_after:.2?}");
    expect_that!(known_after, lt(SOONER_THAN_CONTROL_TRAFFIC));
    for entry in &fleet.entries {
        let resend = caller().draft(&entry.caller_address, CRASHING_PROMPT, 8, false);
        expect_that!(resend.code(), eq("quarantined"));
        expect_that!(resend.outcome, eq("not-run"));
    }
    expect_that!(lost_engines(&mut fleet), eq(MAX_LOST_ENDPOINTS));
}

fn rare_control_traffic() -> Vec<String> {
    [
        "heartbeat_interval_ms: 10000",
        "suspect_after_ms: 60000",
        "vm_list_interval_ms: 200",
        "watch_wait_ms: 5000",
        "peer_exchange_interval_ms: 10000",
        "config_readers_per_zone: 2",
        "connect_timeout_ms: 500",
        "keepalive_interval_ms: 500",
        "keepalive_timeout_ms: 500",
    ]
    .map(str::to_owned)
    .to_vec()
}

#[googletest::test]
fn requests_that_shared_a_batch_are_answered_and_not_refused() {
    let mut fleet = start();
    let entry = fleet.entries[0].caller_address.clone();
    let innocents: Vec<_> = INNOCENT_PROMPTS
        .iter()
        .map(|prompt| {
            let entry = entry.clone();
            thread::spawn(move || caller().draft(&entry, prompt, 60, true))
        })
        .collect();
    Fleet::wait_for("the innocent requests run", || {
        let running = |vm: &pomeloramp_testutils::fleet::EndpointVm| {
            let load = http::try_get(&format!("http://{}/load", vm.endpoint_address));
            load.unwrap_or_default()["running"].as_u64().unwrap_or(0)
        };
        fleet.endpoints.iter().map(running).sum::<u64>() >= INNOCENT_PROMPTS.len() as u64
    });
    let crashing = caller().draft(&entry, CRASHING_PROMPT, 8, false);
    expect_that!(crashing.code(), eq("quarantined"));
    for innocent in innocents {
        let draft = innocent.join().expect("no panic");
        expect_that!(whole_draft(&draft.body), some(anything()), "{}", draft.body);
    }
    for prompt in INNOCENT_PROMPTS {
        let again = caller().draft(&entry, prompt, 60, true);
        expect_that!(whole_draft(&again.body), some(anything()), "{}", again.body);
    }
    expect_that!(lost_engines(&mut fleet), le(MAX_LOST_ENDPOINTS));
}
