//! The users' bound on the calls that reach an endpoint which names a limit.

use std::ops::Add;
use std::time::Duration;

/// Time from the first answer with a limit from which on the bound holds.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Time after which an entry that has passed on an answer with a limit must keep to it.
pub const TOLD_TIME: Duration = Duration::from_millis(500);
/// Length of the time in which calls are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

const EXCESS_FACTOR: f64 = 1.5;
const SLACK_CALLS: f64 = 5.0;

/// Returns how many calls a limit allows in a window.
#[must_use]
pub fn allowed_calls(calls_per_s: f64) -> f64 {
    EXCESS_FACTOR * calls_per_s * WINDOW.as_secs_f64() + SLACK_CALLS
}

/// Returns the most calls of any window, given their times.
///
/// # Panics
///
/// Panics if a window has more than `u32::MAX` calls.
#[must_use]
pub fn most_in_a_window<T>(times: &[T]) -> u32
where
    T: Copy + PartialOrd + Add<Duration, Output = T>,
{
    let in_window = |start: &T| {
        let end = *start + WINDOW;
        let window = times.iter().filter(|at| **at >= *start && **at < end);
        u32::try_from(window.count()).expect("a window has few calls")
    };
    times.iter().map(in_window).max().unwrap_or(0)
}
