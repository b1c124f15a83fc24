//! Calls through separate processes, from a caller to an endpoint and back.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::caller::whole_draft;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;

const TIMEOUT: Duration = Duration::from_secs(10);

#[googletest::test]
fn a_draft_is_streamed_whole_and_a_commit_answered_once() {
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
