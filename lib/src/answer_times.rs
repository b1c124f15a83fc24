//! How long the answers of each route take that are no streams.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Weights of a new sample, those of round-trip times in RFC 6298.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations beyond the mean by which an answer is expected, as in RFC 6298.
const EXPECTED_DEVIATIONS: f64 = 4.0;
/// Longest expected time, as a multiple of the mean: answers of very different lengths say little about
/// the next one.
const MAX_EXPECTED_MEANS: f64 = 2.0;

/// How long the answers of each route take that are no streams, from the time at which an endpoint was sent
/// the call. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    routes: Arc<Mutex<HashMap<String, AnswerTime>>>,
}

/// Moving average and deviation of the times that answers took.
#[derive(Debug)]
struct AnswerTime {
    mean_s: f64,
    deviation_s: f64,
}

impl AnswerTimes {
    /// Records that an answer of a route took some time.
    pub fn record(&self, route: &str, time: Duration) {
        let mut routes = self.lock();
        if let Some(times) = routes.get_mut(route) {
            times.record(time);
        } else {
            routes.insert(route.to_owned(), AnswerTime::first(time));
        }
    }

    /// Returns the time within which an answer of a route is expected; zero if none was received.
    #[must_use]
    pub fn expected(&self, route: &str) -> Duration {
        let routes = self.lock();
        let expected = routes.get(route).map(AnswerTime::expected);
        expected.unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, AnswerTime>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AnswerTime {
    fn first(time: Duration) -> Self {
        Self {
            mean_s: time.as_secs_f64(),
            deviation_s: time.as_secs_f64() / 2.0,
        }
    }

    fn record(&mut self, time: Duration) {
        let difference_s = time.as_secs_f64() - self.mean_s;
        self.mean_s += MEAN_WEIGHT * difference_s;
        self.deviation_s += DEVIATION_WEIGHT * (difference_s.abs() - self.deviation_s);
    }

    fn expected(&self) -> Duration {
        let expected_s = self.mean_s + EXPECTED_DEVIATIONS * self.deviation_s;
        Duration::from_secs_f64(expected_s.min(MAX_EXPECTED_MEANS * self.mean_s))
    }
}
