//! The users' bound on the retries of one service by all entries together.

/// Length of the time in which retries are counted.
pub const WINDOW_MS: u64 = 10_000;
/// Retries for each new call.
const RATIO: f64 = 0.2;

/// Returns by how many retries the busiest window exceeds the bound; negative where it is kept.
///
/// `slack` is the number of retries that are allowed whatever the number of new calls. New calls count
/// in the window, the one before it or the one half a window before it, whichever has most.
#[must_use]
pub fn worst_excess(new_calls_ms: &[u64], retries_ms: &[u64], slack: f64) -> f64 {
    let excess = retries_ms.iter().map(|start_ms| {
        let retries = count(retries_ms, *start_ms);
        let earlier = [0, WINDOW_MS / 2, WINDOW_MS];
        let new_calls = earlier.map(|earlier_ms| {
            let start_ms = start_ms.saturating_sub(earlier_ms);
            count(new_calls_ms, start_ms)
        });
        let new_calls = new_calls.into_iter().fold(0.0, f64::max);
        retries - RATIO * new_calls - slack
    });
    excess.fold(f64::NEG_INFINITY, f64::max)
}

/// Returns the number of times in the window that begins at `start_ms`; the times are in order.
fn count(times_ms: &[u64], start_ms: u64) -> f64 {
    let before = |end_ms: u64| times_ms.partition_point(|at_ms| *at_ms < end_ms);
    let count = before(start_ms + WINDOW_MS) - before(start_ms);
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
