//! The users' bound on the calls that reach an endpoint which has asked an entry for time.

use std::ops::Add;
use std::time::Duration;

/// Time after an answer that asks for time from which on the bound holds.
pub const TOLD_TIME: Duration = Duration::from_millis(500);
/// Most calls that may reach the endpoint from the entry in the time that one answer asks for.
pub const MAX_CALLS: usize = 2;

/// One answer of an endpoint that asks an entry for time.
#[derive(Debug, Clone, Copy)]
pub struct RequestForTime<T> {
    /// Time of the answer.
    pub at: T,
    /// Time that the answer asks for.
    pub length: Duration,
}

/// Returns the most calls that came within the time that any one answer asks for, given the answers
/// and the times of all calls, of one entry and one endpoint.
#[must_use]
pub fn most_calls<T>(answers: &[RequestForTime<T>], calls: &[T]) -> usize
where
    T: Copy + PartialOrd + Add<Duration, Output = T>,
{
    let within = |answer: &RequestForTime<T>| {
        let from = answer.at + TOLD_TIME;
        let until = answer.at + answer.length;
        let within = calls.iter().filter(|at| **at >= from && **at < until);
        within.count()
    };
    answers.iter().map(within).max().unwrap_or(0)
}
