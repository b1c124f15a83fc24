//! Calls through separate processes, from a caller through entry and agent to an endpoint and back, also
//! while one process is dead.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::whole_draft;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::fleet_text::credential;
use pomeloramp_testutils::http;

const TIMEOUT: Duration = Duration::from_secs(10);

#[googletest::test]
fn a_draft_is_streamed_completely_and_a_commit_runs_once() {
    let fleet = Fleet::start(FleetPlan::builder().build());
    let caller = Caller::new(ORGANISATIONS[0], TIMEOUT);
    let entry = &fleet.entries[0].caller_address;

    let draft = caller.draft(entry, "torsion spring, 4 mm wire", 12, true);
    expect_that!(draft.status, eq(200));
    expect_that!(whole_draft(&draft.body), some(not(eq(""))));

    let placement = caller.placement(entry).expect("a placement");
    let commit = caller.commit(entry, "order-1", &placement, 1, "{\"wire_mm\":4}");
    expect_that!(commit.status, eq(200));
    expect_that!(commit.outcome, eq("ran"));
    expect_that!(
        fleet.executions().get("estimating-desk/order-1"),
        some(eq(&1))
    );
}

#[googletest::test]
fn a_request_through_the_interface_of_another_kind_of_service_reaches_no_endpoint() {
    let fleet = Fleet::start(FleetPlan::builder().entries(1).build());
    let entry = &fleet.entries[0].caller_address;
    let url = |path: &str| format!("http://{entry}{path}");
    for (path, body) in [
        (
            "/v1/completions",
            "{\"model\":\"order-commit\",\"prompt\":\"x\"}",
        ),
        ("/v1/services/quote-draft/commit", "{}"),
        ("/v1/services/order-commit/..%2Fadmin", "{}"),
    ] {
        let mut response = http::agent(TIMEOUT)
            .post(url(path))
            .header(
                "authorization",
                format!("Bearer {}", credential(ORGANISATIONS[0])),
            )
            .header("pomeloramp-attempt", "1")
            .send(body)
            .expect("the entry answers");
        let text = response.body_mut().read_to_string().unwrap_or_default();
        expect_that!(response.status().as_u16(), eq(400), "{path}: {text}");
        expect_that!(text, contains_substring("\"not-run\""), "{path}");
    }
    expect_that!(fleet.executions(), is_empty());
}

/// Waits until each live entry has answered a draft and a commit.
fn wait_until_served(fleet: &Fleet, dead_entries: &[usize], case: &str) {
    let caller = Caller::new(ORGANISATIONS[0], TIMEOUT);
    for (index, entry) in fleet.entries.iter().enumerate() {
        if dead_entries.contains(&index) {
            continue;
        }
        let address = &entry.caller_address;
        let mut attempts = 0;
        Fleet::wait_for(&format!("{case}: {} answers", entry.vm_name), || {
            attempts += 1;
            let draft = caller.draft(address, "hook", 3, true);
            let key = format!("{case} {index} {attempts}");
            let placement = caller.placement(address).unwrap_or_default();
            let commit = caller.commit(address, &key, &placement, 1, "{}");
            whole_draft(&draft.body).is_some() && commit.outcome == "ran"
        });
    }
}

#[googletest::test]
fn callers_are_served_while_any_one_endpoint_is_dead() {
    let plan = FleetPlan::builder().entries(2).plain_endpoints(2).build();
    let mut fleet = Fleet::start(plan);
    for index in 0..fleet.endpoints.len() {
        fleet.endpoints[index].agent.kill();
        wait_until_served(&fleet, &[], &format!("agent {index} is dead"));
        fleet.restart_agent(index);
        fleet.endpoints[index].endpoint.kill();
        wait_until_served(&fleet, &[], &format!("endpoint {index} is dead"));
        fleet.restart_endpoint_process(index);
        wait_until_served(&fleet, &[], &format!("endpoint {index} is back"));
    }
    expect_that!(fleet.executions(), each((anything(), eq(&1))));
}

#[googletest::test]
fn callers_are_served_while_any_one_entry_is_dead() {
    let mut fleet = Fleet::start(FleetPlan::builder().build());
    let mut dead = Vec::new();
    for index in 0..3 {
        fleet.entries[index].daemon.kill();
        dead.push(index);
        wait_until_served(&fleet, &dead, &format!("entry {index} is dead"));
        fleet.add_entry();
        fleet.publish_vms();
    }
    wait_until_served(&fleet, &dead, "all entries are replaced by new ones");
    expect_that!(fleet.executions(), each((anything(), eq(&1))));
}
