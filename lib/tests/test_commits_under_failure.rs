//! Non-idempotent calls through separate processes that fail: each call runs at most once, and its
//! caller never receives an outcome that contradicts the executions.

use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::CallerAnswer;
use pomeloramp_testutils::fleet::COMMIT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::fleet_text::template;
use pomeloramp_testutils::http;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(10);
const SEND_DURATION: Duration = Duration::from_millis(300);
const BODY: &str = "{\"wire_mm\":4}";
const SHA256_HEX_DIGITS: usize = 64;

fn plan(plain_endpoints: usize, work_ms: u64) -> FleetPlan {
    FleetPlan::builder()
        .engines(0)
        .plain_endpoints(plain_endpoints)
        .plain_flags(vec!["--work-ms".to_owned(), work_ms.to_string()])
        .build()
}

fn caller() -> Caller {
    Caller::new(ORGANISATIONS[0], TIMEOUT)
}

fn executions(fleet: &Fleet, key: &str) -> u64 {
    let name = format!("{}/{key}", ORGANISATIONS[0]);
    fleet.executions().get(&name).copied().unwrap_or(0)
}

fn entry(fleet: &Fleet, index: usize) -> &str {
    &fleet.entries[index].caller_address
}

fn placement(fleet: &Fleet, index: usize) -> String {
    caller()
        .placement(entry(fleet, index))
        .expect("a placement")
}

/// Sends a first attempt from another thread.
fn commit_in_background(
    fleet: &Fleet,
    index: usize,
    key: &str,
    placement: &str,
    timeout: Duration,
) -> thread::JoinHandle<CallerAnswer> {
    let caller = Caller::new(ORGANISATIONS[0], timeout);
    let entry = entry(fleet, index).to_owned();
    let key = key.to_owned();
    let placement = placement.to_owned();
    thread::spawn(move || caller.commit(&entry, &key, &placement, 1, BODY))
}

fn wait_until_running(fleet: &Fleet, key: &str) {
    Fleet::wait_for("the call reaches its endpoint", || {
        executions(fleet, key) > 0
    });
}

#[googletest::test]
fn a_resend_through_another_entry_gets_the_stored_answer() {
    let fleet = Fleet::start(plan(3, 20));
    let placement = placement(&fleet, 0);
    let first = caller().commit(entry(&fleet, 0), "key", &placement, 1, BODY);
    let second = caller().commit(entry(&fleet, 1), "key", &placement, 2, BODY);
    expect_that!(first.outcome, eq("ran"));
    expect_that!(second, eq(&first));
    expect_that!(executions(&fleet, "key"), eq(1));
}

#[googletest::test]
fn a_resend_after_an_entry_was_killed_attaches_to_the_running_call() {
    let mut fleet = Fleet::start(plan(2, 700));
    let placement = placement(&fleet, 0);
    let first = commit_in_background(&fleet, 0, "key", &placement, TIMEOUT);
    wait_until_running(&fleet, "key");
    fleet.entries[0].daemon.kill();
    let second = caller().commit(entry(&fleet, 1), "key", &placement, 2, BODY);
    expect_that!(first.join().expect("no panic").status, eq(0));
    expect_that!(second.outcome, eq("ran"));
    expect_that!(executions(&fleet, "key"), eq(1));
}

/// The first caller keeps waiting, so that the entry forwards its call after it is resumed.
#[googletest::test]
fn an_entry_that_is_resumed_late_does_not_run_the_call_again() {
    let fleet = Fleet::start(plan(2, 20));
    let placement = placement(&fleet, 0);
    fleet.entries[0].daemon.pause();
    let first = commit_in_background(&fleet, 0, "key", &placement, TIMEOUT);
    thread::sleep(SEND_DURATION);
    let second = caller().commit(entry(&fleet, 1), "key", &placement, 2, BODY);
    fleet.entries[0].daemon.resume();
    let first = first.join().expect("no panic");
    expect_that!(second.outcome, eq("ran"));
    expect_that!(first, eq(&second));
    expect_that!(executions(&fleet, "key"), eq(1));
}

#[googletest::test]
fn an_agent_killed_while_the_call_runs_leaves_it_unknown() {
    let mut fleet = Fleet::start(plan(1, 700));
    let placement = placement(&fleet, 0);
    let first = commit_in_background(&fleet, 0, "key", &placement, TIMEOUT);
    wait_until_running(&fleet, "key");
    fleet.restart_agent(0);
    let first = first.join().expect("no panic");
    let second = caller().commit(entry(&fleet, 1), "key", &placement, 2, BODY);
    expect_that!(first.outcome, eq("unknown"));
    expect_that!(second.outcome, eq("unknown"));
    expect_that!(executions(&fleet, "key"), eq(1));
}

#[googletest::test]
fn a_first_send_to_a_dead_agent_is_not_run_and_can_start_again() {
    let mut fleet = Fleet::start(plan(1, 20));
    let placement = placement(&fleet, 0);
    fleet.endpoints[0].agent.kill();
    fleet.add_endpoint(COMMIT_SERVICE);
    fleet.publish_vms();
    let first = caller().commit(entry(&fleet, 0), "key", &placement, 1, BODY);
    expect_that!(first.outcome, eq("not-run"));
    expect_that!(executions(&fleet, "key"), eq(0));
    let mut retried = first;
    Fleet::wait_for("a fresh placement leads to the new agent", || {
        let fresh = retried.placement.clone().expect("a fresh placement");
        retried = caller().commit(entry(&fleet, 0), "key", &fresh, 1, BODY);
        retried.outcome != "not-run"
    });
    expect_that!(retried.outcome, eq("ran"));
    expect_that!(executions(&fleet, "key"), eq(1));
}

#[googletest::test]
fn a_resend_to_a_dead_agent_is_never_answered_with_not_run() {
    let mut fleet = Fleet::start(plan(1, 20));
    let placement = placement(&fleet, 0);
    let first = caller().commit(entry(&fleet, 0), "key", &placement, 1, BODY);
    fleet.endpoints[0].agent.kill();
    let second = caller().commit(entry(&fleet, 1), "key", &placement, 2, BODY);
    expect_that!(first.outcome, eq("ran"));
    expect_that!(second.outcome, eq("unknown"));
}

#[googletest::test]
fn a_resend_that_its_entry_refuses_is_never_answered_with_not_run() {
    let fleet = Fleet::start(plan(1, 20));
    let placement = placement(&fleet, 0);
    let first = caller().commit(entry(&fleet, 0), "key", &placement, 1, BODY);
    expect_that!(first.outcome, eq("ran"));
    fleet.publish_template(COMMIT_SERVICE, &template_without_first_credential());
    let mut second = first;
    Fleet::wait_for("the credential is withdrawn", || {
        second = caller().commit(entry(&fleet, 1), "key", &placement, 2, BODY);
        second.outcome != "ran"
    });
    expect_that!(second.code(), eq("credential-unknown"));
    expect_that!(second.outcome, eq("unknown"));
    expect_that!(
        second.placement,
        none(),
        "the key must not be started again"
    );
    let unsent = caller().commit(entry(&fleet, 1), "unsent", &placement, 1, BODY);
    expect_that!(unsent.outcome, eq("not-run"));
}

/// Returns the template of the commit service with another credential for the first organisation.
fn template_without_first_credential() -> String {
    let text = template(COMMIT_SERVICE, "plain", false);
    let field = "credential_sha256: ";
    let digest_at = text.find(field).expect("a credential") + field.len();
    let digest_end = digest_at + SHA256_HEX_DIGITS;
    text.replace(&text[digest_at..digest_end], &"0".repeat(SHA256_HEX_DIGITS))
}

#[googletest::test]
fn a_call_whose_answer_was_lost_stays_unknown() {
    let fleet = Fleet::start(plan(1, 20));
    let placement = placement(&fleet, 0);
    let url = format!(
        "http://{}/admin/faults",
        fleet.endpoints[0].endpoint_address
    );
    http::put(&url, &json!({ "mode": "drop-answer" }).to_string());
    let first = caller().commit(entry(&fleet, 0), "key", &placement, 1, BODY);
    http::put(&url, &json!({ "mode": "none" }).to_string());
    let second = caller().commit(entry(&fleet, 1), "key", &placement, 2, BODY);
    expect_that!(first.outcome, eq("unknown"));
    expect_that!(second.outcome, eq("unknown"));
    expect_that!(executions(&fleet, "key"), eq(1));
}

#[googletest::test]
fn a_key_with_another_body_is_refused() {
    let fleet = Fleet::start(plan(1, 20));
    let placement = placement(&fleet, 0);
    let first = caller().commit(entry(&fleet, 0), "key", &placement, 1, BODY);
    let other = caller().commit(entry(&fleet, 1), "key", &placement, 2, "{\"wire_mm\":5}");
    expect_that!(first.outcome, eq("ran"));
    expect_that!(other.code(), eq("key-reused"));
    expect_that!(other.placement, none(), "the key must not be started again");
    expect_that!(executions(&fleet, "key"), eq(1));
}

#[googletest::test]
fn a_resend_follows_its_placement_after_the_vm_list_has_changed() {
    let mut fleet = Fleet::start(plan(3, 20));
    let placement = placement(&fleet, 0);
    let keys: Vec<String> = (0..6).map(|number| format!("key-{number}")).collect();
    for key in &keys {
        let first = caller().commit(entry(&fleet, 0), key, &placement, 1, BODY);
        expect_that!(first.outcome, eq("ran"));
    }
    let removed = fleet.endpoints[0].vm_name.clone();
    fleet.remove_from_vm_list(&removed);
    fleet.add_endpoint(COMMIT_SERVICE);
    fleet.publish_vms();
    let new_entry = fleet.add_entry();
    fleet.publish_vms();
    Fleet::wait_for("the new entry has its configuration", || {
        caller().placement(entry(&fleet, new_entry)).is_some()
    });
    for key in &keys {
        let resend = caller().commit(entry(&fleet, new_entry), key, &placement, 2, BODY);
        expect_that!(resend.outcome, eq("ran"));
        expect_that!(executions(&fleet, key), eq(1));
    }
}

#[googletest::test]
fn a_call_without_placement_is_refused_with_a_fresh_one() {
    let fleet = Fleet::start(plan(1, 20));
    let without = caller().commit(entry(&fleet, 0), "key", "", 1, BODY);
    expect_that!(without.outcome, eq("not-run"));
    expect_that!(executions(&fleet, "key"), eq(0));
    let resend = caller().commit(entry(&fleet, 0), "key", "", 2, BODY);
    expect_that!(resend.outcome, eq("unknown"));
    expect_that!(
        resend.placement,
        none(),
        "the key must not be started again"
    );
    let fresh = without.placement.expect("a fresh placement");
    let first = caller().commit(entry(&fleet, 0), "key", &fresh, 1, BODY);
    expect_that!(first.outcome, eq("ran"));
    expect_that!(executions(&fleet, "key"), eq(1));
}
