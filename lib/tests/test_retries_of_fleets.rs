//! Tests that all entries together make no more retries than the platform allows, and use them.

use googletest::prelude::*;
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

fn start(entries: usize, seed: u64) -> LimitedFleet {
    let mut fleet = LimitedFleet::start(&vec![CALLS_PER_S; entries], ENDPOINTS, seed);
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
            let mut fleet = start(entries, seed);
            fleet.play(30_000);
            expect_bound_kept(&fleet, slack, seed);
        }
    }
}

#[googletest::test]
fn entries_that_restarted_in_series_made_more_retries_than_allowed() {
    for (entries, slack) in FLEETS {
        for seed in SEEDS {
            let mut fleet = start(entries, seed);
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
            let mut fleet = start(entries, seed);
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
