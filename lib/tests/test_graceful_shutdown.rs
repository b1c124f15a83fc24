//! Processes that are told to stop, and endpoints that leave.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::Heard;
use pomeloramp_testutils::caller::whole_draft;
use pomeloramp_testutils::fleet::COMMIT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::http;

const TIMEOUT: Duration = Duration::from_secs(20);
const STREAM_TOKENS: u32 = 40;
const SETTLED_WITHIN: Duration = Duration::from_secs(3);
const WITHIN_ADDRESS_LIFETIME: Duration = Duration::from_millis(500);

fn plan() -> FleetPlan {
    FleetPlan::builder()
        .engines(2)
        .plain_endpoints(2)
        .engine_flags(vec!["--token-interval-ms".to_owned(), "50".to_owned()])
        .build()
}

fn caller() -> Caller {
    Caller::new(ORGANISATIONS[0], TIMEOUT)
}

fn draft_in_background(entry: &str) -> thread::JoinHandle<Heard> {
    let entry = entry.to_owned();
    thread::spawn(move || caller().draft(&entry, "compression spring", STREAM_TOKENS, true))
}

/// Returns how many requests run at the engines.
fn running(fleet: &Fleet) -> u64 {
    fleet
        .endpoints
        .iter()
        .filter_map(|vm| http::try_get(&format!("http://{}/load", vm.endpoint_address)))
        .map(|load| load["running"].as_u64().unwrap_or(0))
        .sum()
}

fn tokens_of(draft: &Heard) -> Option<usize> {
    whole_draft(&draft.body).map(|text| text.split_whitespace().count())
}

#[googletest::test]
fn an_entry_that_is_told_to_stop_finishes_its_streams_and_serves_old_addresses() {
    let mut fleet = Fleet::start(plan());
    let entry = fleet.entries[0].caller_address.clone();
    let draft = draft_in_background(&entry);
    Fleet::wait_for("the stream has begun", || running(&fleet) > 0);
    fleet.entries[0].daemon.terminate();
    let late = caller().draft(&entry, "late caller", 2, true);
    let draft = draft.join().expect("no panic");
    expect_that!(tokens_of(&draft), some(eq(STREAM_TOKENS as usize)));
    expect_that!(tokens_of(&late), some(eq(2)));
    expect_that!(fleet.entries[0].daemon.wait(TIMEOUT), some(eq(true)));
}

#[googletest::test]
fn an_idle_entry_that_is_told_to_stop_serves_old_addresses() {
    let mut fleet = Fleet::start(plan());
    let entry = fleet.entries[0].caller_address.clone();
    fleet.entries[0].daemon.terminate();
    thread::sleep(WITHIN_ADDRESS_LIFETIME);
    let late = caller().draft(&entry, "late caller", 2, true);
    expect_that!(tokens_of(&late), some(eq(2)));
    expect_that!(fleet.entries[0].daemon.wait(TIMEOUT), some(eq(true)));
}

#[googletest::test]
fn agents_that_are_told_to_stop_finish_their_streams() {
    let mut fleet = Fleet::start(plan());
    let entry = fleet.entries[0].caller_address.clone();
    let drafts: Vec<_> = (0..4).map(|_| draft_in_background(&entry)).collect();
    Fleet::wait_for("the streams have begun", || running(&fleet) >= 4);
    fleet.endpoints[0].agent.terminate();
    for draft in drafts {
        let draft = draft.join().expect("no panic");
        expect_that!(tokens_of(&draft), some(eq(STREAM_TOKENS as usize)));
    }
    expect_that!(fleet.endpoints[0].agent.wait(TIMEOUT), some(eq(true)));
}

#[googletest::test]
fn all_agents_that_are_told_to_stop_finish_their_streams_without_another_to_resume_them() {
    let mut fleet = Fleet::start(plan());
    let entry = fleet.entries[0].caller_address.clone();
    let drafts: Vec<_> = (0..4).map(|_| draft_in_background(&entry)).collect();
    Fleet::wait_for("the streams have begun", || running(&fleet) >= 4);
    for endpoint in &mut fleet.endpoints {
        endpoint.agent.terminate();
    }
    for draft in drafts {
        let draft = draft.join().expect("no panic");
        expect_that!(tokens_of(&draft), some(eq(STREAM_TOKENS as usize)));
    }
}

#[googletest::test]
fn an_endpoint_that_leaves_gets_no_new_work_although_the_list_lags() {
    let fleet = Fleet::start(plan());
    let entry = fleet.entries[0].caller_address.clone();
    let index = fleet
        .endpoints
        .iter()
        .position(|vm| vm.service == COMMIT_SERVICE)
        .expect("a commit endpoint");
    fleet.endpoints[index].agent.terminate();
    thread::sleep(SETTLED_WITHIN);
    let before = executions_at(&fleet, index);
    let placement = caller().placement(&entry).expect("a placement");
    for number in 0..8 {
        let heard = caller().commit(&entry, &format!("key-{number}"), &placement, 1, "{}");
        expect_that!(heard.outcome, eq("ran"));
    }
    expect_that!(executions_at(&fleet, index), eq(before));
}

#[googletest::test]
fn an_endpoint_that_the_list_marks_as_leaving_gets_no_new_work() {
    let mut fleet = Fleet::start(plan());
    let entry = fleet.entries[0].caller_address.clone();
    let index = fleet.endpoints.len() - 1;
    let old_placement = caller().placement(&entry).expect("a placement");
    let vm_name = fleet.endpoints[index].vm_name.clone();
    let marked = Instant::now();
    fleet.mark_leaving(&vm_name);
    thread::sleep(SETTLED_WITHIN.saturating_sub(marked.elapsed()));
    let before = executions_at(&fleet, index);
    for number in 0..8 {
        let key = format!("key-{number}");
        let heard = caller().commit(&entry, &key, &old_placement, 1, "{}");
        expect_that!(heard.outcome, any![eq("ran"), eq("not-run")]);
    }
    expect_that!(executions_at(&fleet, index), eq(before));
}

fn executions_at(fleet: &Fleet, index: usize) -> usize {
    let address = &fleet.endpoints[index].endpoint_address;
    let url = format!("http://{address}/admin/executions");
    let answer = http::try_get(&url).unwrap_or_default();
    answer["by_key"].as_object().map_or(0, serde_json::Map::len)
}
