//! Decides which calls a draining entry still takes.
//!
//! A draining entry is killed when its grace time is over, which cuts the calls that still run. Callers
//! come until their cached addresses have expired. After that, the entry takes only calls whose deadline
//! lies before its end, so that nothing that endpoints do later can cut them. The others are refused at
//! once, and their callers go to another entry.

use std::time::Duration;

/// Share of the grace time in which all calls are taken, in percent. The rest is enough for most of
/// them.
const OPEN_PERCENT: u32 = 35;
/// Longest time in which all calls are taken. The users' rule excuses the cut of calls that were sent up
/// to 3 s after the signal; the difference is for calls on their way and a signal that is noticed late.
const MAX_OPEN_TIME: Duration = Duration::from_millis(2_800);
/// Number of lifetimes for which some callers keep an address.
pub(crate) const KEPT_LIFETIMES: u32 = 3;
/// Share of the grace time in which the calls must have ended, in percent.
const END_PERCENT: u32 = 93;

/// Time from the end of an entry until a process that replaces it takes calls.
const RESTART_TIME: Duration = Duration::from_millis(500);

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

    /// Returns the time from `draining` since the signal until a process that replaces the entry takes
    /// calls, at the latest.
    #[must_use]
    pub fn time_until_replaced(&self, draining: Duration) -> Duration {
        (self.grace + RESTART_TIME).saturating_sub(draining)
    }

    /// Returns the longest lifetime of an address at `draining` since the signal with which all callers
    /// that keep it come while all calls are taken.
    #[must_use]
    pub fn address_lifetime(&self, draining: Duration) -> Duration {
        self.open_time().saturating_sub(draining) / KEPT_LIFETIMES
    }

    /// Returns the time since the signal until which a call is taken whose deadline is `deadline` after the
    /// signal: all at first, then those that end before the entry whatever endpoints do.
    #[must_use]
    pub fn taken_until(&self, deadline: Duration) -> Duration {
        if deadline <= self.end() {
            deadline
        } else {
            self.open_time()
        }
    }

    /// Returns the time since the signal for which calls are taken whatever their deadline.
    pub(crate) fn open_time(&self) -> Duration {
        MAX_OPEN_TIME.min(self.grace * OPEN_PERCENT / 100)
    }
}
