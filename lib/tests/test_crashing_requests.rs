//! Requests that crash every endpoint that runs them must be refused by the whole fleet after two crashes,
//! and requests that shared a batch with them must be answered.

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
const MAX_PROPAGATION: Duration = Duration::from_secs(1);
const MAX_REFUSAL_DURATION: Duration = Duration::from_millis(500);
/// Less than a third of the interval of heartbeats and exchanges; a pushed update takes milliseconds.
const MAX_PUSH_DURATION: Duration = Duration::from_secs(3);
const MAX_LOST_ENDPOINTS: usize = 2;
const CRASHING_PROMPT: &str = "CRASH this engine";
const HARMLESS_PROMPTS: [&str; 4] = ["wire", "coil", "hook", "loop"];

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
        expect_that!(sent.elapsed(), lt(MAX_REFUSAL_DURATION));
    }
    expect_that!(refused_at.elapsed(), lt(MAX_PROPAGATION));
    expect_that!(lost_engines(&mut fleet), le(MAX_LOST_ENDPOINTS));
}

/// Heartbeats and exchanges are 10 s apart here, so that only the push between peers can deliver the update.
#[googletest::test]
fn crashing_content_is_pushed_to_eight_entries_and_all_agents_before_control_traffic() {
    let plan = FleetPlan::builder()
        .entries(8)
        .engines(5)
        .plain_endpoints(3)
        .control_settings(infrequent_control_traffic())
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
    let received_after = refused_at.elapsed();
    println!("received by {processes} processes after {received_after:.2?}");
    expect_that!(received_after, lt(MAX_PUSH_DURATION));
    for entry in &fleet.entries {
        let resend = caller().draft(&entry.caller_address, CRASHING_PROMPT, 8, false);
        expect_that!(resend.code(), eq("quarantined"));
        expect_that!(resend.outcome, eq("not-run"));
    }
    expect_that!(lost_engines(&mut fleet), eq(MAX_LOST_ENDPOINTS));
}

fn infrequent_control_traffic() -> Vec<String> {
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
    let harmless_drafts: Vec<_> = HARMLESS_PROMPTS
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
        fleet.endpoints.iter().map(running).sum::<u64>() >= HARMLESS_PROMPTS.len() as u64
    });
    let crashing = caller().draft(&entry, CRASHING_PROMPT, 8, false);
    expect_that!(crashing.code(), eq("quarantined"));
    for harmless_draft in harmless_drafts {
        let draft = harmless_draft.join().expect("no panic");
        expect_that!(whole_draft(&draft.body), some(anything()), "{}", draft.body);
    }
    for prompt in HARMLESS_PROMPTS {
        let resent = caller().draft(&entry, prompt, 60, true);
        expect_that!(
            whole_draft(&resent.body),
            some(anything()),
            "{}",
            resent.body
        );
    }
    expect_that!(lost_engines(&mut fleet), le(MAX_LOST_ENDPOINTS));
}
