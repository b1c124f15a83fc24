//! Tests of which log lines find room when the others no longer do.

use googletest::prelude::*;
use log::Level;
use pomeloramp_lib::LogPriority;

#[googletest::test]
fn warnings_and_the_drain_go_before_routine_lines() {
    let drain = "E0005 drain started: in_flight=3";
    expect_that!(LogPriority::of(Level::Info, drain), eq(LogPriority::High));
    let sent = "E0601 call sent to an endpoint: request_id=7";
    expect_that!(LogPriority::of(Level::Info, sent), eq(LogPriority::Routine));
    let other = "no event: E0005";
    expect_that!(
        LogPriority::of(Level::Info, other),
        eq(LogPriority::Routine)
    );
    expect_that!(LogPriority::of(Level::Warn, other), eq(LogPriority::High));
}
