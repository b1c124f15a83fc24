//! Tests that all entries together keep the limits that endpoints name, and use them.

use googletest::prelude::*;
use pomeloramp_testutils::limited_fleet::EntryFault;
use pomeloramp_testutils::limited_fleet::LimitedFleet;

const SETTLE_MS: u64 = 5_000;
const SEEDS: std::ops::Range<u64> = 0..6;
/// Least share of the limits that is used where demand exceeds them.
const MIN_USED_SHARE: f64 = 0.75;

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Starts a fleet whose endpoints all name a limit after a while.
fn limited_fleet(calls_per_s: &[f64], endpoints: usize, limit: f64, seed: u64) -> LimitedFleet {
    let mut fleet = LimitedFleet::start(calls_per_s, endpoints, seed);
    fleet.play(SETTLE_MS);
    for endpoint in 0..endpoints {
        fleet.name_limit(endpoint, Some(limit));
    }
    fleet
}

/// Plays a fleet whose demand exceeds the limits of all endpoints by a factor; checks that the limits
/// are kept, and which share of them is used.
fn check_use(entries: usize, endpoints: usize, limit: f64, factor: f64, least_used: f64) {
    for seed in SEEDS {
        let named = as_f64(endpoints) * limit;
        let calls_per_s = vec![factor * named / as_f64(entries); entries];
        let mut fleet = limited_fleet(&calls_per_s, endpoints, limit, seed);
        fleet.play(6_000);
        let since_ms = fleet.now_ms();
        fleet.play(30_000);
        expect_that!(fleet.worst_excess(true), le(0.0), "seed {seed}");
        let used = fleet.calls_per_s(since_ms) / named;
        expect_that!(used, ge(least_used), "seed {seed}");
        expect_that!(used, le(1.1), "seed {seed}");
    }
}

#[googletest::test]
fn one_entry_exceeded_or_wasted_limits() {
    check_use(1, 3, 2.0, 2.0, MIN_USED_SHARE);
}

#[googletest::test]
fn a_few_entries_exceeded_or_wasted_limits() {
    check_use(4, 6, 8.0, 2.0, MIN_USED_SHARE);
    check_use(9, 16, 2.2, 2.0, MIN_USED_SHARE);
}

#[googletest::test]
fn many_entries_exceeded_or_wasted_limits() {
    check_use(38, 72, 1.7, 2.0, MIN_USED_SHARE);
}

#[googletest::test]
fn entries_exceeded_or_wasted_limits_of_less_than_one_call_a_second() {
    check_use(9, 3, 0.3, 10.0, MIN_USED_SHARE);
    // A call of each entry every 5 s finds a permit only now and then.
    check_use(9, 3, 0.3, 2.0, 0.5);
}

#[googletest::test]
fn entries_together_exceeded_limits_when_a_burst_found_all_permits_unused() {
    for (entries, limit) in [(9, 2.2), (38, 1.0), (38, 0.2), (4, 8.0)] {
        for seed in SEEDS {
            let mut fleet = limited_fleet(&vec![1.0; entries], 6, limit, seed);
            fleet.play(10_000);
            for entry in 0..entries {
                fleet.set_demand(entry, 0.0);
            }
            fleet.play(30_000);
            for entry in 0..entries {
                fleet.set_demand(entry, 100.0);
            }
            fleet.play(10_000);
            let excess = fleet.worst_excess(true);
            expect_that!(
                excess,
                le(0.0),
                "{entries} entries, limit {limit}, seed {seed}"
            );
        }
    }
}

#[googletest::test]
fn entries_together_exceeded_limits_after_faults() {
    let faults = [
        EntryFault::Freeze(300),
        EntryFault::Freeze(4_000),
        EntryFault::Restart(500),
        EntryFault::Restart(6_000),
        EntryFault::Cut(2_000),
        EntryFault::Cut(20_000),
    ];
    for limit in [0.3, 2.2, 8.0] {
        for seed in SEEDS {
            let mut fleet = limited_fleet(&[30.0; 9], 12, limit, seed);
            fleet.play(5_000);
            for (number, fault) in faults.iter().cycle().take(18).enumerate() {
                fleet.inject((number * 5 + 2) % 9, *fault);
                fleet.play(1_700);
            }
            fleet.play(8_000);
            expect_that!(
                fleet.worst_excess(false),
                le(0.0),
                "limit {limit}, seed {seed}"
            );
        }
    }
}

#[googletest::test]
fn entries_together_exceeded_limits_when_most_of_them_started_at_once() {
    for limit in [0.3, 2.2] {
        for seed in SEEDS {
            let mut fleet = limited_fleet(&[30.0; 9], 12, limit, seed);
            fleet.play(6_000);
            for entry in 0..7 {
                fleet.inject(entry, EntryFault::Restart(400));
            }
            fleet.play(12_000);
            expect_that!(
                fleet.worst_excess(false),
                le(0.0),
                "limit {limit}, seed {seed}"
            );
        }
    }
}

#[googletest::test]
fn an_entry_that_was_cut_off_took_the_parts_of_the_others() {
    for seed in SEEDS {
        let mut fleet = limited_fleet(&[30.0; 9], 12, 4.0, seed);
        fleet.play(6_000);
        fleet.inject(3, EntryFault::Cut(25_000));
        fleet.play(25_000);
        expect_that!(fleet.worst_excess(true), le(0.0), "seed {seed}");
    }
}

#[googletest::test]
fn unevenly_loaded_entries_wasted_limits() {
    for seed in SEEDS {
        let mut calls_per_s = [1.0; 9];
        calls_per_s[4] = 150.0;
        let mut fleet = limited_fleet(&calls_per_s, 6, 6.0, seed);
        fleet.play(15_000);
        let since_ms = fleet.now_ms();
        fleet.play(30_000);
        expect_that!(fleet.worst_excess(true), le(0.0), "seed {seed}");
        expect_that!(
            fleet.calls_per_s(since_ms),
            ge(36.0 * MIN_USED_SHARE),
            "seed {seed}"
        );
    }
}

#[googletest::test]
fn limits_that_rise_and_end_were_not_noticed() {
    for seed in SEEDS {
        let mut fleet = limited_fleet(&[20.0; 9], 6, 0.2, seed);
        fleet.play(20_000);
        for endpoint in 0..6 {
            fleet.name_limit(endpoint, Some(10.0));
        }
        fleet.play(30_000);
        let since_ms = fleet.now_ms();
        fleet.play(20_000);
        expect_that!(
            fleet.calls_per_s(since_ms),
            ge(60.0 * MIN_USED_SHARE),
            "seed {seed}"
        );
        for endpoint in 0..6 {
            fleet.name_limit(endpoint, None);
        }
        fleet.play(5_000);
        let since_ms = fleet.now_ms();
        fleet.play(5_000);
        expect_that!(fleet.calls_per_s(since_ms), ge(170.0), "seed {seed}");
    }
}

#[googletest::test]
fn a_limit_of_zero_lasted_for_ever() {
    for seed in SEEDS {
        let mut fleet = limited_fleet(&[20.0; 9], 6, 0.0, seed);
        fleet.play(60_000);
        expect_that!(fleet.worst_excess(true), le(0.0), "seed {seed}");
        for endpoint in 0..6 {
            fleet.name_limit(endpoint, None);
        }
        fleet.play(60_000);
        let since_ms = fleet.now_ms();
        fleet.play(5_000);
        expect_that!(fleet.calls_per_s(since_ms), ge(170.0), "seed {seed}");
    }
}
