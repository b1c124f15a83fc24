//! Tests of the configuration across processes: changes come into force everywhere in time, and no
//! process returns to an older revision.

use std::collections::BTreeMap;
use std::thread;
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

const OLD_STATE_OBSERVED_FOR: Duration = Duration::from_secs(2);
const MAX_TIME_TO_IN_FORCE: Duration = Duration::from_secs(4);
const NEW_ENTRIES: usize = 3;
const OPERATORS: usize = 2;
const PUBLICATIONS: u64 = 40;
/// Short enough that one answer of the service contains several publications.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(10);
/// Number of entries of a typical fleet.
const RESTARTED_ENTRIES: usize = 8;
const READS_BEFORE_SERVICE_RECOVERS: u64 = 24;
/// Minimum time between two reads of a starting entry.
const START_READ_INTERVAL: Duration = Duration::from_millis(500);

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
    expect_that!(elapsed, lt(MAX_TIME_TO_IN_FORCE));
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
    let new_entry = fleet.add_entry();
    fleet.restart_agent(0);
    fleet.publish_vms();
    expect_that!(stale_revision, lt(revision));
    wait_until_in_force(&fleet, revision);
    expect_that!(is_configured(&fleet, new_entry), some(eq(true)));
}

#[googletest::test]
fn a_new_entry_answers_its_first_caller_with_the_configuration_of_its_peers() {
    let mut fleet = Fleet::start(plan(3));
    let revision = publish(&fleet, 9_000);
    wait_until_in_force(&fleet, revision);
    fleet.set_platform_faults(&json!({ "config": "down" }));
    for _ in 0..NEW_ENTRIES {
        let new_entry = fleet.add_entry();
        expect_that!(is_configured(&fleet, new_entry), some(eq(true)));
        let vm_name = &fleet.entries[new_entry].vm_name;
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
        let new_entry = fleet.add_entry();
        let vm_name = fleet.entries[new_entry].vm_name.clone();
        expect_that!(revisions(&fleet).get(&vm_name), some(ge(&revision)));
    }
    fleet.publish_vms();
    fleet.restart_agent(0);
    wait_until_in_force(&fleet, revision);
    let observed_until = Instant::now() + OLD_STATE_OBSERVED_FOR;
    while Instant::now() < observed_until {
        for row in status::run(&fleet, "revisions") {
            if row["document"] == "services/quote-draft" {
                expect_that!(row["revision"].as_u64(), some(ge(revision)), "{row}");
            }
        }
    }
}

/// Returns whether an entry reports that it has the template of the commit service.
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

/// Publishes a valid change of another document. Once its revision is in force, all earlier
/// publications have been processed.
fn publish_marker(fleet: &Fleet) -> u64 {
    let text = template(COMMIT_SERVICE, "plain", false).replace("10000", "9000");
    fleet.publish_template(COMMIT_SERVICE, &text);
    let url = format!("http://{}/config/values", fleet.platform_address);
    let values = http::try_get(&url).expect("the configuration service answers");
    values["revision"].as_u64().expect("a revision")
}

/// Returns the revisions in force by process and document, read once from the whole fleet.
fn in_force(fleet: &Fleet) -> BTreeMap<(String, String), u64> {
    let rows = run(fleet, "revisions");
    let rows = rows.iter().filter(|row| row["state"] == "in force");
    let cells = rows.filter_map(|row| {
        let vm_name = row["vm_name"].as_str()?.to_owned();
        let document = row["document"].as_str()?.to_owned();
        Some(((vm_name, document), row["revision"].as_u64()?))
    });
    cells.collect()
}

/// Publishes both documents alternately, each time with another deadline.
fn publish_in_turn(platform_address: &str, operator: usize) {
    let documents = [
        (DRAFT_SERVICE, template(DRAFT_SERVICE, "model", true)),
        (COMMIT_SERVICE, template(COMMIT_SERVICE, "plain", false)),
    ];
    for publication in 0..PUBLICATIONS {
        let deadline_ms = 9_000 + publication * 10 + operator as u64;
        for (service, text) in &documents {
            let url = format!("http://{platform_address}/admin/config/services/{service}");
            let text = text.replace("deadline_ms: 10000", &format!("deadline_ms: {deadline_ms}"));
            http::put(&url, &text);
            thread::sleep(PUBLICATION_INTERVAL);
        }
    }
}

#[googletest::test]
fn two_operators_who_publish_at_once_leave_every_process_at_the_last_revisions() {
    // Two entries read the service, and the other three receive its values from these.
    let plan = FleetPlan::builder().entries(5).zones(1).engines(1).build();
    let fleet = Fleet::start(plan);
    let operators: Vec<_> = (0..OPERATORS)
        .map(|operator| {
            let address = fleet.platform_address.clone();
            thread::spawn(move || publish_in_turn(&address, operator))
        })
        .collect();
    let mut previous = in_force(&fleet);
    while operators.iter().any(|operator| !operator.is_finished()) {
        previous = expect_no_revision_decreased(&previous, in_force(&fleet));
    }
    for operator in operators {
        operator.join().expect("the operator published all");
    }
    let url = format!("http://{}/config/values", fleet.platform_address);
    let published = http::try_get(&url).expect("the configuration service answers");
    let published = published["values"].as_array().expect("a list of values");
    expect_that!(published, len(eq(2)));
    Fleet::wait_for("the last revisions are in force", || {
        previous = expect_no_revision_decreased(&previous, in_force(&fleet));
        let is_in_force = |value: &Value| {
            let document = value["key"].as_str().unwrap_or_default();
            let mut held = previous.iter().filter(|((_, key), _)| key == document);
            held.all(|(_, revision)| value["revision"].as_u64() == Some(*revision))
        };
        published.iter().all(is_in_force)
    });
    let processes = fleet.entries.len() + fleet.endpoints.len();
    expect_that!(previous, len(eq(2 * processes)));
}

/// Checks that no revision is lower than in the previous reading of the fleet, and returns both
/// readings merged.
fn expect_no_revision_decreased(
    previous: &BTreeMap<(String, String), u64>,
    latest: BTreeMap<(String, String), u64>,
) -> BTreeMap<(String, String), u64> {
    for (process_and_document, revision) in previous {
        // A process that did not answer this time is compared at the next reading.
        if let Some(held) = latest.get(process_and_document) {
            expect_that!(held, ge(revision), "{process_and_document:?}");
        }
    }
    let mut merged = previous.clone();
    merged.extend(latest);
    merged
}

fn platform_calls(fleet: &Fleet) -> Value {
    let url = format!("http://{}/admin/calls", fleet.platform_address);
    http::try_get(&url).expect("the platform answers")
}

#[googletest::test]
fn a_whole_fleet_that_restarts_while_the_service_is_down_calls_it_seldom() {
    let mut fleet = Fleet::start(plan(RESTARTED_ENTRIES));
    let revision = publish(&fleet, 9_000);
    wait_until_in_force(&fleet, revision);
    fleet.set_platform_faults(&json!({ "config": "down" }));
    for entry in &mut fleet.entries {
        entry.daemon.kill();
    }
    let agents = fleet.endpoints.len();
    for agent in 0..agents {
        fleet.restart_agent(agent);
    }
    let count = |fleet: &Fleet| {
        platform_calls(fleet)["config_watches"]
            .as_u64()
            .unwrap_or(0)
    };
    let before = count(&fleet);
    let started = Instant::now();
    fleet.entries.clear();
    let starting: Vec<_> = (0..RESTARTED_ENTRIES)
        .map(|_| fleet.spawn_entry())
        .collect();
    Fleet::wait_for("the new entries ask the service", || {
        count(&fleet) >= before + READS_BEFORE_SERVICE_RECOVERS
    });
    let calls = count(&fleet) - before;
    let elapsed = started.elapsed();
    let reads_each = elapsed.as_millis() / START_READ_INTERVAL.as_millis() + 1;
    let max_calls = u64::try_from(reads_each).unwrap() * RESTARTED_ENTRIES as u64 + agents as u64;
    println!("{calls} calls in {elapsed:?}, at most {max_calls}");
    expect_that!(calls, le(max_calls));
    fleet.set_platform_faults(&json!({ "config": "none" }));
    for entry in starting {
        fleet.wait_for_entry(entry);
    }
    fleet.publish_vms();
    wait_until_in_force(&fleet, revision);
    expect_that!(
        platform_calls(&fleet)["config_refused"].as_u64(),
        some(eq(0))
    );
}

/// A proxy keeps acknowledging packets for a peer that is gone, so the operating system does not
/// detect the dead connections of the watches. A change must still come into force in time. The test
/// uses the shipped control settings.
#[googletest::test]
fn a_change_was_not_in_force_while_watches_were_silent_behind_a_proxy() {
    let plan = FleetPlan::builder()
        .entries(3)
        .engines(1)
        .control_settings(Vec::new())
        .relay_platform(true)
        .build();
    let fleet = Fleet::start(plan);
    let first = publish(&fleet, 9_000);
    wait_until_in_force(&fleet, first);
    let relay = fleet.platform_relay.as_ref().expect("the plan asks for it");
    relay.silence_open_connections();
    let revision = publish(&fleet, 8_000);
    let elapsed = wait_until_in_force(&fleet, revision);
    expect_that!(elapsed, lt(MAX_TIME_TO_IN_FORCE));
}
