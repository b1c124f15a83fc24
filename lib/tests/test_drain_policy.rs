//! Tests of what a draining entry takes, replayed over calls that arrive while it drains.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::CallTimes;
use pomeloramp_lib::DrainPolicy;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEEDS: std::ops::Range<u64> = 0..50;
/// Calls that were sent up to this time after the signal may be cut (users' rule LOST).
const MAY_BE_CUT_UNTIL_MS: u64 = 3_000;
/// The same as a share of the grace time, in percent: 3 s of 8 s. The earlier one of both counts.
const MAY_BE_CUT_PERCENT: u64 = 37;
const ROUTE: &str = "r1";
const TIMEOUT: Duration = Duration::from_secs(8);

fn policy(grace_s: u64) -> DrainPolicy {
    DrainPolicy::new(Duration::from_secs(grace_s))
}

fn takes(policy: DrainPolicy, draining_ms: u64, time_left_ms: u64) -> bool {
    let draining = Duration::from_millis(draining_ms);
    policy.takes(draining, Duration::from_millis(time_left_ms))
}

#[googletest::test]
fn all_calls_are_taken_at_first() {
    expect_that!(takes(policy(8), 0, 8_000), eq(true));
    expect_that!(takes(policy(8), 2_700, 8_000), eq(true));
}

/// Guards against LOST in review case 3: streams were taken until 7.4 s after SIGTERM.
#[googletest::test]
fn calls_that_outlasted_the_entry_were_taken() {
    expect_that!(takes(policy(8), 3_000, 8_000), eq(false));
    expect_that!(takes(policy(8), 3_000, 6_000), eq(false));
    expect_that!(takes(policy(8), 7_000, 1_000), eq(false));
}

#[googletest::test]
fn calls_that_end_in_time_are_taken_late_too() {
    expect_that!(takes(policy(8), 3_000, 4_400), eq(true));
    expect_that!(takes(policy(8), 6_000, 1_000), eq(true));
}

/// Guards against LOST with long grace times: all calls were taken for 35 % of it, 7 s of 20 s, while only
/// those of the first 3 s may be cut.
#[googletest::test]
fn calls_longer_than_a_long_grace_time_were_taken() {
    expect_that!(takes(policy(20), 2_700, 60_000), eq(true));
    expect_that!(takes(policy(20), 3_100, 60_000), eq(false));
    expect_that!(takes(policy(20), 10_000, 8_000), eq(true));
}

#[googletest::test]
fn callers_that_keep_an_address_for_three_lifetimes_come_while_all_calls_are_taken() {
    for grace_s in [1, 4, 8, 20, 60] {
        for longest_ms in [500, 8_000, 60_000] {
            let policy = policy(grace_s);
            let longest = Duration::from_millis(longest_ms);
            let taking_time = policy.taking_time(longest);
            for percent in [0, 20, 70, 99] {
                let draining = taking_time * percent / 100;
                let last = draining + 3 * policy.address_lifetime(draining, longest);
                let before_last = last - Duration::from_millis(1);
                expect_that!(policy.takes(before_last, longest), eq(true));
            }
            let closed = policy.address_lifetime(taking_time, longest);
            expect_that!(closed, eq(Duration::ZERO));
        }
    }
}

/// Draws grace times and deadlines; a call may take all the time until its deadline.
#[googletest::test]
fn no_late_call_of_a_drawn_load_is_cut() {
    for seed in SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let grace_ms = rng.random_range(1_000..=60_000_u64);
        let policy = DrainPolicy::new(Duration::from_millis(grace_ms));
        let may_be_cut_until_ms = MAY_BE_CUT_UNTIL_MS.min(grace_ms * MAY_BE_CUT_PERCENT / 100);
        for _ in 0..500 {
            let arrived_ms = rng.random_range(0..=grace_ms);
            let time_left_ms = rng.random_range(10..=2 * grace_ms);
            let is_taken = takes(policy, arrived_ms, time_left_ms);
            if arrived_ms >= may_be_cut_until_ms {
                let is_cut = is_taken && arrived_ms + time_left_ms > grace_ms;
                expect_that!(is_cut, eq(false), "seed {seed} at {arrived_ms} ms");
            }
            let surely_ends = arrived_ms + time_left_ms <= grace_ms * 93 / 100;
            expect_that!(is_taken || !surely_ends, eq(true), "seed {seed}");
        }
    }
}

/// Ends calls that took the given time each.
async fn end_calls(times: &CallTimes, count: usize, time: Duration) {
    let calls: Vec<_> = (0..count).map(|_| times.begin(ROUTE)).collect();
    tokio::time::sleep(time).await;
    for call in calls {
        call.record_end();
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn times_are_known_once_enough_calls_have_ended_and_long_ones_would_have() {
    let times = CallTimes::default();
    end_calls(&times, 40, Duration::from_secs(1)).await;
    expect_that!(times.longest(ROUTE, TIMEOUT), none());
    tokio::time::sleep(TIMEOUT).await;
    let longest = times.longest(ROUTE, TIMEOUT);
    expect_that!(longest, some(eq(Duration::from_secs(1))));
    expect_that!(times.longest("r2", TIMEOUT), none());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn few_calls_tell_nothing() {
    let times = CallTimes::default();
    end_calls(&times, 29, Duration::from_secs(1)).await;
    tokio::time::sleep(TIMEOUT).await;
    expect_that!(times.longest(ROUTE, TIMEOUT), none());
}

/// Guards against calls that were taken on the times of short ones while long ones still ran.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn the_time_of_running_calls_was_not_counted() {
    let times = CallTimes::default();
    end_calls(&times, 40, Duration::from_millis(100)).await;
    tokio::time::sleep(TIMEOUT).await;
    let running = times.begin(ROUTE);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let longest = times.longest(ROUTE, TIMEOUT);
    expect_that!(longest, some(eq(Duration::from_secs(3))));
    drop(running);
    let longest = times.longest(ROUTE, TIMEOUT);
    expect_that!(longest, some(eq(Duration::from_millis(100))));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn old_times_are_forgotten() {
    let times = CallTimes::default();
    end_calls(&times, 40, Duration::from_secs(5)).await;
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_secs(30)).await;
        end_calls(&times, 40, Duration::from_secs(1)).await;
    }
    let longest = times.longest(ROUTE, TIMEOUT);
    expect_that!(longest, some(eq(Duration::from_secs(1))));
}
