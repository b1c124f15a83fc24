//! The longest time that the latest calls of each route took.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// Time after which older calls are forgotten, at the latest after two of them.
const WINDOW: Duration = Duration::from_secs(30);
/// Number of calls that must have ended before their longest time says something of others.
const MIN_CALLS: u32 = 30;

/// The longest time that the latest calls of each route took. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct CallTimes {
    routes: Arc<Mutex<HashMap<String, RouteTimes>>>,
}

/// A call that is measured until the value is dropped.
#[derive(Debug)]
pub struct MeasuredCall {
    times: CallTimes,
    route: String,
    number: u64,
    started: Instant,
}

/// The calls of one route that run, and those that ended in the current and in the previous window.
#[derive(Debug)]
struct RouteTimes {
    first: Instant,
    next_number: u64,
    /// Start of each running call; the first is the oldest.
    running: BTreeMap<u64, Instant>,
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
    /// Begins to measure a call of a route.
    #[must_use]
    pub fn begin(&self, route: &str) -> MeasuredCall {
        let started = Instant::now();
        let mut routes = self.lock();
        if !routes.contains_key(route) {
            routes.retain(|_, times| times.is_recent(started));
        }
        let times = routes.entry(route.to_owned());
        let times = times.or_insert_with(|| RouteTimes::new(started));
        MeasuredCall {
            times: self.clone(),
            route: route.to_owned(),
            number: times.begin(started),
            started,
        }
    }

    /// Returns the longest time of the latest calls of a route; `None` if too few have ended, or if the
    /// route has been measured for less than `timeout`, after which the longest calls would have ended.
    #[must_use]
    pub fn longest(&self, route: &str, timeout: Duration) -> Option<Duration> {
        let routes = self.lock();
        let times = routes.get(route)?;
        let ended = times.current.count + times.previous.count;
        let is_known = ended >= MIN_CALLS && times.first.elapsed() >= timeout;
        is_known.then(|| times.longest())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, RouteTimes>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MeasuredCall {
    /// Records that the call was answered.
    pub fn record_end(&self) {
        let now = Instant::now();
        if let Some(times) = self.times.lock().get_mut(&self.route) {
            times.record(now - self.started, now);
        }
    }
}

impl Drop for MeasuredCall {
    fn drop(&mut self) {
        if let Some(times) = self.times.lock().get_mut(&self.route) {
            times.running.remove(&self.number);
        }
    }
}

impl RouteTimes {
    fn new(now: Instant) -> Self {
        Self {
            first: now,
            next_number: 0,
            running: BTreeMap::new(),
            window_start: now,
            current: EndedCalls::default(),
            previous: EndedCalls::default(),
        }
    }

    fn begin(&mut self, now: Instant) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.running.insert(number, now);
        number
    }

    fn record(&mut self, time: Duration, now: Instant) {
        if now - self.window_start >= WINDOW {
            self.window_start = now;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.count += 1;
        self.current.longest = self.current.longest.max(time);
    }

    /// Returns the longest time, that of the oldest running call included.
    fn longest(&self) -> Duration {
        let oldest = self.running.first_key_value();
        let running = oldest.map_or(Duration::ZERO, |(_, started)| started.elapsed());
        running.max(self.current.longest).max(self.previous.longest)
    }

    fn is_recent(&self, now: Instant) -> bool {
        !self.running.is_empty() || now - self.window_start < 2 * WINDOW
    }
}
