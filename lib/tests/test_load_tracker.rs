//! Tests of the smoothing, forecast and drift horizon of expert load.

use googletest::prelude::*;
use pomeloramp_lib::ExpertLoad;
use pomeloramp_lib::LoadTracker;

const INTERVAL_S: f64 = 60.0;
const SMOOTHING_S: f64 = 60.0;

fn load(first: f64) -> ExpertLoad {
    ExpertLoad::new(vec![vec![first, 200.0 - first]])
}

/// Tracks a load of 200, of which `shift` moves to the first expert in each of 100 intervals.
fn track_drift(shift: f64) -> LoadTracker {
    let mut tracker = LoadTracker::new(SMOOTHING_S);
    for interval in 0..100 {
        tracker.observe(&load(50.0 + shift * f64::from(interval)), INTERVAL_S);
    }
    tracker
}

#[googletest::test]
fn the_drift_horizon_shrinks_as_the_load_drifts_faster() {
    expect_that!(track_drift(0.0).drift_horizon_s(), eq(f64::INFINITY));
    expect_that!(
        track_drift(0.1).drift_horizon_s(),
        gt(track_drift(0.2).drift_horizon_s())
    );
    // A thousandth of the load moves in a minute, a tenth in 100 minutes.
    expect_that!(track_drift(0.2).drift_horizon_s(), near(6_000.0, 600.0));
}

#[googletest::test]
fn a_forecast_carries_a_steady_drift_forward() -> Result<()> {
    let tracker = track_drift(0.5);
    let last = 50.0 + 0.5 * 99.0;
    let smoothed = tracker.load().or_fail()?.layer(0)[0];
    expect_that!(smoothed, lt(last));
    let forecast = tracker.forecast(INTERVAL_S).or_fail()?;
    expect_that!(forecast.layer(0)[0], near(last + 0.5, 0.2));
    Ok(())
}

#[googletest::test]
fn a_jump_replaces_the_smoothed_load_and_is_not_a_trend() -> Result<()> {
    let mut tracker = track_drift(0.0);
    tracker.observe(&load(150.0), INTERVAL_S);
    let forecast = tracker.forecast(INTERVAL_S).or_fail()?;
    expect_that!(forecast.layer(0)[0], near(150.0, 1e-9));
    expect_that!(tracker.drift_horizon_s(), eq(f64::INFINITY));
    Ok(())
}

#[googletest::test]
fn there_is_no_forecast_before_the_first_sample() {
    let tracker = LoadTracker::new(SMOOTHING_S);
    expect_that!(tracker.forecast(INTERVAL_S), none());
    expect_that!(tracker.drift_horizon_s(), eq(0.0));
}
