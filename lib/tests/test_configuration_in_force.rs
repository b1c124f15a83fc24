//! Configuration across processes: in force everywhere in time, and never back.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use pomeloramp_testutils::fleet::COMMIT_SERVICE;
use pomeloramp_testutils::fleet::DRAFT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::template;
use pomeloramp_testutils::http;
use pomeloramp_testutils::status::revisions;
use serde_json::json;

const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

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
    let url = format!(
        "http://{}/v1/endpoints?service={COMMIT_SERVICE}",
        fleet.entries[newborn].caller_address
    );
    let answer = http::try_get(&url).expect("the new entry answers");
    expect_that!(answer["configured"].as_bool(), some(eq(true)));
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
}

/// Publishes a valid change of another document, whose revision marks the time before it.
fn publish_marker(fleet: &Fleet) -> u64 {
    let text = template(COMMIT_SERVICE, "plain", false).replace("10000", "9000");
    fleet.publish_template(COMMIT_SERVICE, &text);
    let url = format!("http://{}/config/values", fleet.platform_address);
    let values = http::try_get(&url).expect("the configuration service answers");
    values["revision"].as_u64().expect("a revision")
}
