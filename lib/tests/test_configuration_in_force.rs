//! Configuration across processes: in force everywhere in time, and never back.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use pomeloramp_testutils::fleet::COMMIT_SERVICE;
use pomeloramp_testutils::fleet::DRAFT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet_text::template;
use pomeloramp_testutils::http;
use pomeloramp_testutils::status;
use pomeloramp_testutils::status::revisions;
use pomeloramp_testutils::status::run;
use serde_json::Value;
use serde_json::json;

const OLD_STATE_WATCHED: Duration = Duration::from_secs(2);
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);
const NEW_ENTRIES: usize = 3;

fn plan(entries: usize) -> FleetPlan {
    FleetPlan::builder().entries(entries).engines(1).build()
}

/// Publishes a changed template and returns the revision of the whole service.
fn publish(fleet: &Fleet, deadline_ms: u64) -> u64 {
    let text = template(DRAFT_SERVICE, "model", true)
        .replace("deadline_ms: 10000", &format!("deadline_ms: {deadline_ms}"));
    fleet.publish_template(DRAFT_SERVICE, &text);
    let url = format!("http://{}/config/values", fleet.platform_address);
    let values = http::try_get(&url).expect("the configuration service answers");
    values["revision"].as_u64().expect("a revision")
}

fn wait_until_in_force(fleet: &Fleet, revision: u64) -> Duration {
    let started = Instant::now();
    Fleet::wait_for("the revision is in force", || {
        revisions(fleet).values().all(|held| *held >= revision)
    });
    started.elapsed()
}

#[googletest::test]
fn a_change_is_in_force_everywhere_within_four_seconds() {
    let fleet = Fleet::start(plan(4));
    let revision = publish(&fleet, 9_000);
    let elapsed = wait_until_in_force(&fleet, revision);
    expect_that!(elapsed, lt(IN_FORCE_WITHIN));
}

#[googletest::test]
fn a_stale_service_does_not_bring_an_old_revision_back() {
    let mut fleet = Fleet::start(plan(3));
    fleet.set_platform_faults(&json!({ "config": "stale" }));
    let stale_revision = revisions(&fleet).values().max().copied().unwrap_or(0);
    fleet.set_platform_faults(&json!({ "config": "none" }));
    let revision = publish(&fleet, 9_000);
    wait_until_in_force(&fleet, revision);
    fleet.set_platform_faults(&json!({ "config": "down" }));
    let newborn = fleet.add_entry();
    fleet.restart_agent(0);
    fleet.publish_vms();
    expect_that!(stale_revision, lt(revision));
    wait_until_in_force(&fleet, revision);
    expect_that!(is_configured(&fleet, newborn), some(eq(true)));
}

#[googletest::test]
fn a_new_entry_answers_its_first_caller_with_the_configuration_of_its_peers() {
    let mut fleet = Fleet::start(plan(3));
    let revision = publish(&fleet, 9_000);
    wait_until_in_force(&fleet, revision);
    fleet.set_platform_faults(&json!({ "config": "down" }));
    for _ in 0..NEW_ENTRIES {
        let newborn = fleet.add_entry();
        expect_that!(is_configured(&fleet, newborn), some(eq(true)));
        let vm_name = &fleet.entries[newborn].vm_name;
        expect_that!(revisions(&fleet).get(vm_name), some(ge(&revision)));
    }
}

#[googletest::test]
fn an_old_revision_that_the_service_serves_again_never_comes_into_force() {
    let mut fleet = Fleet::start(plan(3));
    let revision = publish(&fleet, 9_000);
    wait_until_in_force(&fleet, revision);
    fleet.set_platform_faults(&json!({ "config": "previous" }));
    for _ in 0..NEW_ENTRIES {
        let newborn = fleet.add_entry();
        let vm_name = fleet.entries[newborn].vm_name.clone();
        expect_that!(revisions(&fleet).get(&vm_name), some(ge(&revision)));
    }
    fleet.publish_vms();
    fleet.restart_agent(0);
    wait_until_in_force(&fleet, revision);
    let watched_until = Instant::now() + OLD_STATE_WATCHED;
    while Instant::now() < watched_until {
        for row in status::run(&fleet, "revisions") {
            if row["document"] == "services/quote-draft" {
                expect_that!(row["revision"].as_u64(), some(ge(revision)), "{row}");
            }
        }
    }
}

/// Returns whether an entry says that it has the template of the commit service.
fn is_configured(fleet: &Fleet, entry: usize) -> Option<bool> {
    let url = format!(
        "http://{}/v1/endpoints?service={COMMIT_SERVICE}",
        fleet.entries[entry].caller_address
    );
    http::try_get(&url)?["configured"].as_bool()
}

#[googletest::test]
fn an_invalid_document_is_refused_everywhere_and_the_last_good_one_stays() {
    let fleet = Fleet::start(plan(2));
    let revision = publish(&fleet, 9_000);
    wait_until_in_force(&fleet, revision);
    let invalid = template(DRAFT_SERVICE, "model", true).replace("urgency: 5", "urgency: 50");
    fleet.publish_template(DRAFT_SERVICE, &invalid);
    let last = publish_marker(&fleet);
    wait_until_in_force(&fleet, last);
    for entry in &fleet.entries {
        let url = format!(
            "http://{}/v1/endpoints?service={DRAFT_SERVICE}",
            entry.caller_address
        );
        let answer = http::try_get(&url).expect("the entry answers");
        expect_that!(answer["configured"].as_bool(), some(eq(true)));
    }
    let rows = run(&fleet, "revisions");
    for vm_name in revisions(&fleet).keys() {
        let in_force = draft_revision(&rows, vm_name, "in force");
        let refused = draft_revision(&rows, vm_name, "refused");
        expect_that!(in_force, some(eq(revision)), "{vm_name}");
        expect_that!(refused, some(gt(revision)), "{vm_name}");
    }
}

/// Returns the revision of the draft service's document that a process lists in a state.
fn draft_revision(rows: &[Value], vm_name: &str, state: &str) -> Option<u64> {
    let key = format!("services/{DRAFT_SERVICE}");
    let is_listed = |row: &&Value| {
        row["vm_name"] == vm_name && row["document"] == key.as_str() && row["state"] == state
    };
    rows.iter().find(is_listed)?["revision"].as_u64()
}

/// Publishes a valid change of another document, whose revision marks the time before it.
fn publish_marker(fleet: &Fleet) -> u64 {
    let text = template(COMMIT_SERVICE, "plain", false).replace("10000", "9000");
    fleet.publish_template(COMMIT_SERVICE, &text);
    let url = format!("http://{}/config/values", fleet.platform_address);
    let values = http::try_get(&url).expect("the configuration service answers");
    values["revision"].as_u64().expect("a revision")
}
