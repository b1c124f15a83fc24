//! Tests with large templates across processes: changes are sent as patches, and a starting process
//! receives the configuration in several messages.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use pomeloramp_testutils::fleet::DRAFT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet_text::template;
use pomeloramp_testutils::relay::Relay;
use pomeloramp_testutils::status::revisions;
use serde_json::json;

const ORGANISATIONS: usize = 3_800;
/// Longer than the timeout of an exchange between two processes.
const EXCHANGE_SETTLED_AFTER: Duration = Duration::from_millis(1_200);
/// Number of values that together exceed the message limit of 4 MB.
const LARGE_SERVICES: usize = 6;
const LARGE_VALUE_BYTES: usize = 900_000;

/// One availability zone, in which one entry reads the service and the others exchange with it.
fn plan(entries: usize) -> FleetPlan {
    let control = [
        "heartbeat_interval_ms: 200",
        "suspect_after_ms: 1000",
        "vm_list_interval_ms: 200",
        "vm_list_bytes_per_s: 1000000",
        "watch_wait_ms: 5000",
        "peer_exchange_interval_ms: 200",
        "config_readers_per_zone: 1",
        "connect_timeout_ms: 500",
        "keepalive_interval_ms: 500",
        "keepalive_timeout_ms: 500",
    ];
    FleetPlan::builder()
        .entries(entries)
        .zones(1)
        .engines(1)
        .relay_peers(true)
        .control_settings(control.map(str::to_owned).to_vec())
        .build()
}

fn large_template(changed: Option<usize>) -> String {
    let rows = (0..ORGANISATIONS).map(|number| {
        let urgency = if changed == Some(number) { 7 } else { 3 };
        format!(
            "  - organisation: organisation-{number:05}\n    credential_sha256: {number:064x}\n    \
             max_in_flight: 64\n    urgency: {urgency}\n    share_weight: 1\n    idle_weight: 1\n"
        )
    });
    let rows: Vec<String> = rows.collect();
    template(DRAFT_SERVICE, "model", true) + &rows.concat()
}

/// Waits until every process has a later revision than `previous` in force, and returns the time
/// waited.
fn wait_until_in_force(fleet: &Fleet, previous: u64) -> Duration {
    let started = Instant::now();
    Fleet::wait_for("the revision is in force", || {
        let held = revisions(fleet);
        let processes = fleet.entries.len() + fleet.endpoints.len();
        held.len() == processes && held.values().all(|held| *held > previous)
    });
    started.elapsed()
}

fn latest(fleet: &Fleet) -> u64 {
    revisions(fleet).values().max().copied().unwrap_or(0)
}

/// Returns the relays whose addresses are in the VM list in place of those of the entries.
fn entry_relays(fleet: &Fleet) -> impl Iterator<Item = &Relay> + Clone {
    let relays = fleet.entries.iter().map(|vm| vm.peer_relay.as_ref());
    relays.map(|relay| relay.expect("the plan asks for relays"))
}

/// Returns the bytes that the relays of the entries have forwarded so far.
fn forwarded_bytes(fleet: &Fleet) -> usize {
    let bytes: u64 = entry_relays(fleet).map(Relay::forwarded_bytes).sum();
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// Debug builds take seconds to parse a template of this size, so the time is only printed.
#[googletest::test]
fn one_organisations_change_of_a_large_template_travels_as_a_patch() {
    let fleet = Fleet::start(plan(4));
    Fleet::wait_for("entries exchange through the relays", || {
        entry_relays(&fleet).all(Relay::has_connections)
    });
    let previous = latest(&fleet);
    let whole = large_template(None);
    fleet.publish_template(DRAFT_SERVICE, &whole);
    wait_until_in_force(&fleet, previous);
    Fleet::wait_for("exchanges of whole values are over", || {
        let before = forwarded_bytes(&fleet);
        thread::sleep(EXCHANGE_SETTLED_AFTER);
        forwarded_bytes(&fleet) - before < whole.len() / 2
    });
    let before = forwarded_bytes(&fleet);
    let previous = latest(&fleet);
    fleet.publish_template(DRAFT_SERVICE, &large_template(Some(1_900)));
    let elapsed = wait_until_in_force(&fleet, previous);
    let bytes = forwarded_bytes(&fleet) - before;
    println!("{} bytes: {bytes} forwarded in {elapsed:?}", whole.len());
    expect_that!(bytes, lt(whole.len() / 2));
}

#[googletest::test]
fn a_new_entry_takes_more_than_a_message_holds_from_its_peers() {
    let mut fleet = Fleet::start(plan(2));
    let mut previous = latest(&fleet);
    for number in 0..LARGE_SERVICES {
        let service = format!("large-{number}");
        let padding = format!("# {}\n", "-".repeat(97)).repeat(LARGE_VALUE_BYTES / 100);
        fleet.publish_template(&service, &(template(&service, "plain", false) + &padding));
        wait_until_in_force(&fleet, previous);
        previous = latest(&fleet);
    }
    fleet.set_platform_faults(&json!({ "config": "down" }));
    let new_entry = fleet.add_entry();
    let vm_name = &fleet.entries[new_entry].vm_name;
    expect_that!(revisions(&fleet).get(vm_name), some(eq(&previous)));
}
