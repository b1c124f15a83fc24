//! Two faults at once, drawn by seed, over a whole fleet.

use googletest::prelude::*;
use pomeloramp_testutils::compound;
use pomeloramp_testutils::compound::CompoundPlan;

fn check(plan: CompoundPlan) {
    let report = compound::run(plan);
    expect_that!(
        report.violations,
        is_empty(),
        "seed {}: {:?}",
        plan.seed,
        report.trace
    );
    expect_that!(report.ran, gt(0));
    expect_that!(report.whole_drafts, gt(0));
}

fn small(seed: u64) -> CompoundPlan {
    CompoundPlan {
        seed,
        entries: 3,
        engines: 3,
        plain_endpoints: 3,
        rounds: 4,
    }
}

#[googletest::test]
fn guarantees_hold_under_pairs_of_faults_of_seed_one() {
    check(small(1));
}

#[googletest::test]
fn guarantees_hold_under_pairs_of_faults_of_seed_two() {
    check(small(2));
}

#[googletest::test]
fn guarantees_hold_in_a_fleet_of_todays_size() {
    check(CompoundPlan {
        seed: 3,
        entries: 8,
        engines: 16,
        plain_endpoints: 3,
        rounds: 4,
    });
}
