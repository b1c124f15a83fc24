//! Tests that all entries together make no more retries than the platform allows, and use them.

use googletest::prelude::*;
use pomeloramp_lib::RetryAllowance;
use pomeloramp_testutils::dispatch::RETRY_ALLOWANCE;
use pomeloramp_testutils::limited_fleet::EntryFault;
use pomeloramp_testutils::limited_fleet::LimitedFleet;
use pomeloramp_testutils::retry_bound;

/// Numbers of entries, with the retries that the platform allows whatever the number of calls.
const FLEETS: [(usize, u32); 4] = [(7, 90), (9, 94), (30, 188), (38, 216)];
const SEEDS: std::ops::Range<u64> = 0..3;
/// Calls a second of one entry: few, so that the bound rests on what is allowed whatever their number.
const CALLS_PER_S: f64 = 1.5;
const ENDPOINTS: usize = 24;
/// Time until the entries know each other and have saved retries.
const SETTLE_MS: u64 = 20_000;

fn start(entries: usize, slack: u32, seed: u64) -> LimitedFleet {
    let allowance = RetryAllowance {
        slack: f64::from(slack),
        ..RETRY_ALLOWANCE
    };
    let calls_per_s = vec![CALLS_PER_S; entries];
    let mut fleet = LimitedFleet::start_with_retries(&calls_per_s, ENDPOINTS, allowance, seed);
    fleet.play(SETTLE_MS);
    fleet.set_failing(true);
    fleet
}

fn expect_bound_kept(fleet: &LimitedFleet, slack: u32, seed: u64) {
    let (new_calls, retries) = fleet.retries();
    let excess = retry_bound::worst_excess(new_calls, retries, f64::from(slack));
    expect_that!(excess, le(0.0), "slack {slack}, seed {seed}");
}

#[googletest::test]
fn entries_together_made_more_retries_than_allowed() {
    for (entries, slack) in FLEETS {
        for seed in SEEDS {
            let mut fleet = start(entries, slack, seed);
            fleet.play(30_000);
            expect_bound_kept(&fleet, slack, seed);
        }
    }
}

#[googletest::test]
fn entries_that_restarted_in_series_made_more_retries_than_allowed() {
    for (entries, slack) in FLEETS {
        for seed in SEEDS {
            let mut fleet = start(entries, slack, seed);
            for entry in 0..entries {
                fleet.inject(entry, EntryFault::Restart(400));
                fleet.play(8_000 / u64::try_from(entries).unwrap());
            }
            fleet.play(5_000);
            expect_bound_kept(&fleet, slack, seed);
        }
    }
}

#[googletest::test]
fn entries_that_restarted_at_once_made_more_retries_than_allowed() {
    for (entries, slack) in FLEETS {
        for seed in SEEDS {
            let mut fleet = start(entries, slack, seed);
            for _ in 0..3 {
                for entry in 0..entries * 3 / 5 {
                    fleet.inject(entry, EntryFault::Restart(500));
                }
                fleet.play(4_000);
            }
            fleet.play(5_000);
            expect_bound_kept(&fleet, slack, seed);
        }
    }
}

#[googletest::test]
fn entries_that_were_cut_off_made_more_retries_than_allowed() {
    for (entries, slack) in FLEETS {
        let mut fleet = start(entries, slack, 1);
        for entry in 0..entries / 2 {
            fleet.inject(entry, EntryFault::Cut(60_000));
        }
        fleet.play(50_000);
        expect_bound_kept(&fleet, slack, 1);
    }
}

#[googletest::test]
fn three_hundred_and_ninety_entries_made_more_retries_than_allowed() {
    const SLACK: u32 = 900;
    let mut fleet = start(390, SLACK, 1);
    fleet.play(12_000);
    expect_bound_kept(&fleet, SLACK, 1);
}

#[googletest::test]
fn a_service_with_few_calls_got_no_retries() {
    for (entries, slack) in FLEETS {
        let mut fleet = start(entries, slack, 1);
        for entry in 0..entries {
            fleet.set_demand(entry, 0.2);
        }
        fleet.play(30_000);
        let since_ms = fleet.now_ms();
        fleet.play(20_000);
        let (new_calls, retries) = fleet.retries();
        let count = |times: &[u64]| times.iter().filter(|at_ms| **at_ms >= since_ms).count();
        // Two calls of an entry in 10 s would earn less than one retry by their number alone.
        expect_that!(count(retries) * 2, ge(count(new_calls)), "slack {slack}");
    }
}

#[googletest::test]
fn a_silent_entry_took_the_retries_of_all_others() {
    let mut fleet = start(7, 90, 1);
    fleet.inject(0, EntryFault::Cut(60_000));
    fleet.play(20_000);
    let since_ms = fleet.now_ms();
    fleet.play(10_000);
    let (_, retries) = fleet.retries();
    let used = retries.iter().filter(|at_ms| **at_ms >= since_ms).count();
    expect_that!(used, ge(30));
}
