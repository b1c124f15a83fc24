//! Decides which calls a draining entry still takes.
//!
//! A draining entry is killed when its grace time is over, which cuts the calls that still run. Callers
//! come until their cached addresses have expired. Calls that can't be expected to end in time are
//! refused at once, so that their callers go to another entry.

use std::time::Duration;

/// Share of the grace time in which all calls are taken, in percent. The rest is enough for most of
/// them.
const OPEN_PERCENT: u32 = 35;
/// Number of lifetimes for which some callers keep an address.
pub(crate) const KEPT_LIFETIMES: u32 = 3;
/// Share of the grace time in which the calls must have ended, in percent.
const END_PERCENT: u32 = 93;
/// Factor by which a call may take longer than the longest of the latest ones of its route.
const TIME_MARGIN: u32 = 2;

/// What a draining entry knows of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainingCall {
    /// Time since the signal to shut down.
    pub draining: Duration,
    /// Time until the deadline of the call, when it ends at the latest.
    pub time_left: Duration,
    /// Longest time that the latest calls of the route took; `None` while too few have ended.
    pub longest: Option<Duration>,
}

/// Decides which calls a draining entry still takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPolicy {
    grace: Duration,
}

impl DrainPolicy {
    /// Creates the policy of an entry that is killed `grace` after the signal to shut down.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Returns the time since the signal at which all calls should have ended.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.grace * END_PERCENT / 100
    }

    /// Returns the time since the signal for which all calls are taken.
    fn open_time(&self) -> Duration {
        self.grace * OPEN_PERCENT / 100
    }

    /// Returns the longest lifetime of an address at `draining` since the signal with which all callers
    /// that keep it come while all calls are taken.
    #[must_use]
    pub fn address_lifetime(&self, draining: Duration) -> Duration {
        self.open_time().saturating_sub(draining) / KEPT_LIFETIMES
    }

    /// Returns whether the entry takes a call: all at first, then those that end in time.
    #[must_use]
    pub fn takes(&self, call: &DrainingCall) -> bool {
        let is_open = call.draining < self.open_time();
        let left = self.end().saturating_sub(call.draining);
        let expected = call.longest.map(|longest| longest * TIME_MARGIN);
        let needed = expected.map_or(call.time_left, |time| time.min(call.time_left));
        is_open || needed <= left
    }
}
