//! Tests of when a signal may have been sent to a process that notices it late.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::WakeTimes;
use tokio::time::Instant;

/// Records that a process runs at these times, in milliseconds since its start, and returns how long before
/// `noticed_ms` a signal may have been sent that it notices then.
fn sent_before_ms(times_ms: &[u64], noticed_ms: u64) -> u128 {
    let started = Instant::now();
    let at = |ms: u64| started + Duration::from_millis(ms);
    let mut times = WakeTimes::new(started);
    for ms in times_ms {
        times.record(at(*ms));
    }
    let noticed = at(noticed_ms);
    (noticed - times.earliest_sent(noticed)).as_millis()
}

#[googletest::test]
fn a_process_that_runs_counts_from_when_it_notices_the_signal() {
    expect_that!(sent_before_ms(&[50, 100, 150, 200], 230), eq(0));
    expect_that!(sent_before_ms(&[50, 130, 200, 260], 330), eq(0));
    expect_that!(sent_before_ms(&[], 20), eq(0));
}

/// Guards against LOST in review case 13: the grace time was counted from the end of a freeze.
#[googletest::test]
fn a_signal_was_counted_from_the_end_of_a_freeze() {
    expect_that!(sent_before_ms(&[50, 100], 2_100), eq(2_000));
    // The process may record that it runs before it notices the signal.
    expect_that!(sent_before_ms(&[50, 100, 2_100], 2_102), eq(2_002));
    expect_that!(sent_before_ms(&[50, 100, 2_100, 2_150], 2_190), eq(2_090));
}

#[googletest::test]
fn a_signal_during_the_first_of_two_freezes_is_noticed_after_the_second() {
    expect_that!(sent_before_ms(&[50, 100, 2_100, 3_500], 3_501), eq(3_401));
}

#[googletest::test]
fn a_freeze_long_before_the_signal_does_not_count() {
    let times_ms = [50, 100, 5_000, 5_050, 5_100, 5_150];
    expect_that!(sent_before_ms(&times_ms, 5_160), eq(0));
}

/// Guards against a busy machine, on which each record is late, making a signal older and older.
#[googletest::test]
fn a_signal_on_a_busy_machine_is_not_counted_from_long_before() {
    let times_ms: Vec<u64> = (1..100).map(|number| number * 200).collect();
    expect_that!(sent_before_ms(&times_ms, 20_000), le(800));
}
