//! Tests of daemons that receive SIGINT.

use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::whole_draft;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::http;
use pomeloramp_testutils::process::TestProcess;

const TIMEOUT: Duration = Duration::from_mins(1);

/// Starts one entry and one engine, whose answers of 1,000 tokens take 50 s.
fn start() -> Fleet {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(1)
        .engine_flags(vec!["--token-interval-ms".to_owned(), "50".to_owned()])
        .draft_deadline_ms(120_000)
        .build();
    Fleet::start(plan)
}

fn wait_until_running(fleet: &Fleet) {
    let executions = format!(
        "http://{}/admin/executions",
        fleet.endpoints[0].endpoint_address
    );
    Fleet::wait_for("the draft runs", || {
        http::try_get(&executions).is_some_and(|answer| !answer["order"][0].is_null())
    });
}

/// Interrupts a process twice while it handles a draft. The first interrupt lets the draft continue,
/// the second stops the process.
fn check_second_interrupt(process: impl Fn(&mut Fleet) -> &mut TestProcess) {
    let mut fleet = start();
    let entry = fleet.entries[0].caller_address.clone();
    let caller = Caller::new(ORGANISATIONS[0], TIMEOUT);
    let draft = thread::spawn(move || caller.draft(&entry, "long", 1_000, true));
    wait_until_running(&fleet);
    let process = process(&mut fleet);
    process.interrupt();
    expect_that!(process.wait(Duration::from_secs(1)), none());
    process.interrupt();
    expect_that!(process.wait(TIMEOUT), some(eq(false)));
    let draft = draft.join().expect("no panic");
    expect_that!(whole_draft(&draft.body), none());
}

#[googletest::test]
fn a_second_interrupt_stops_a_draining_entry() {
    check_second_interrupt(|fleet| &mut fleet.entries[0].daemon);
}

#[googletest::test]
fn a_second_interrupt_stops_a_draining_agent() {
    check_second_interrupt(|fleet| &mut fleet.endpoints[0].agent);
}
