//! Pairs of simultaneous faults, drawn from a seed, in a whole fleet: no call may run twice or contradict
//! the outcome that its caller received, and the fleet must recover.

use googletest::prelude::*;
use pomeloramp_testutils::SmallestTrace;
use pomeloramp_testutils::compound;
use pomeloramp_testutils::compound::CompoundPlan;
use pomeloramp_testutils::compound_fault::Fault;
use pomeloramp_testutils::compound_fault::FaultKind;
use pomeloramp_testutils::compound_fault::Round;

fn check(plan: CompoundPlan) {
    let rounds = compound::draw(plan);
    let report = compound::run_rounds(plan, &rounds);
    let seed = plan.seed;
    expect_that!(report.violations, is_empty(), "seed {seed}: {rounds:#?}");
    expect_that!(report.ran, gt(0));
    expect_that!(report.whole_drafts, gt(0));
}

/// Simulates a run that fails if an agent is unreachable in the same round as a suspended entry, or later.
fn fails_after_suspension(rounds: &[Round]) -> bool {
    let kinds: Vec<FaultKind> = rounds.iter().flatten().map(|fault| fault.kind).collect();
    let suspension = kinds
        .iter()
        .position(|kind| *kind == FaultKind::FreezeEntry);
    suspension.is_some_and(|suspension| kinds[suspension..].contains(&FaultKind::CutAgent))
}

fn fault(kind: FaultKind) -> Fault {
    Fault {
        kind,
        entry: 0,
        endpoint: 0,
        deadline_ms: 0,
    }
}

#[googletest::test]
fn a_failing_trace_is_minimised() {
    let rounds = [
        vec![fault(FaultKind::CutAgent), fault(FaultKind::NewEntry)],
        vec![fault(FaultKind::FreezeEntry), fault(FaultKind::ListDown)],
        vec![fault(FaultKind::KillEntry), fault(FaultKind::CutAgent)],
    ];
    let smallest = SmallestTrace::find(&rounds, 20, fails_after_suspension);
    let expected = [
        vec![fault(FaultKind::FreezeEntry)],
        vec![fault(FaultKind::CutAgent)],
    ];
    expect_that!(smallest.rounds, eq(&expected));
    expect_that!(smallest.reruns, eq(6));
    let bounded = SmallestTrace::find(&rounds, 2, fails_after_suspension);
    expect_that!(bounded.reruns, eq(2));
    expect_that!(fails_after_suspension(&bounded.rounds), eq(true));
}

fn small_fleet(seed: u64) -> CompoundPlan {
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
    check(small_fleet(1));
}

#[googletest::test]
fn guarantees_hold_under_pairs_of_faults_of_seed_two() {
    check(small_fleet(2));
}

#[googletest::test]
fn guarantees_hold_in_a_fleet_of_current_production_size() {
    check(CompoundPlan {
        seed: 3,
        entries: 8,
        engines: 16,
        plain_endpoints: 3,
        rounds: 4,
    });
}
