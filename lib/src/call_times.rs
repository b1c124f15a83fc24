//! The longest time that the latest calls of each route took.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// Time after which older calls are forgotten, at the latest after two of them.
const WINDOW: Duration = Duration::from_secs(30);
/// Number of calls that must have ended before their longest time says something of others.
const MIN_CALLS: u32 = 30;

/// The longest time that the latest calls of each route took.
#[derive(Debug, Default)]
pub(crate) struct CallTimes {
    routes: Mutex<HashMap<String, RouteTimes>>,
}

/// The calls of one route that ended in the current and in the previous window.
#[derive(Debug)]
struct RouteTimes {
    window_start: Instant,
    current: EndedCalls,
    previous: EndedCalls,
}

#[derive(Debug, Default, Clone, Copy)]
struct EndedCalls {
    count: u32,
    longest: Duration,
}

impl CallTimes {
    /// Records the end of a call that was answered.
    pub(crate) fn record(&self, route: &str, time: Duration) {
        let now = Instant::now();
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(times) = routes.get_mut(route) {
            times.record(time, now);
            return;
        }
        routes.retain(|_, times| now - times.window_start < 2 * WINDOW);
        let mut times = RouteTimes::new(now);
        times.record(time, now);
        routes.insert(route.to_owned(), times);
    }

    /// Returns the longest time of the latest calls of a route; `None` if too few have ended.
    pub(crate) fn longest(&self, route: &str) -> Option<Duration> {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let RouteTimes {
            current, previous, ..
        } = routes.get(route)?;
        let has_enough = current.count + previous.count >= MIN_CALLS;
        has_enough.then(|| current.longest.max(previous.longest))
    }
}

impl RouteTimes {
    fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            current: EndedCalls::default(),
            previous: EndedCalls::default(),
        }
    }

    fn record(&mut self, time: Duration, now: Instant) {
        if now - self.window_start >= WINDOW {
            self.window_start = now;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.count += 1;
        self.current.longest = self.current.longest.max(time);
    }
}
