//! This entry's part of the retries that all entries together may make for one service.

use crate::RetryAllowance;
use crate::as_f64::as_f64;

/// Share of this entry's part of the slack that it may save up; the rest is earned over the window.
const SAVED_SHARE: f64 = 0.5;
/// Retries that may always be saved up, so that requests can earn a whole one, and that a new process has, so
/// that its first calls can leave a slow endpoint.
const MIN_SAVED_RETRIES: f64 = 1.0;

/// This entry's part of the retries that all entries together may make for one service.
///
/// Its requests earn it their ratio. Of the slack, which is allowed whatever the number of requests, it
/// has a share: in any window it uses at most what it has saved and what it earns meanwhile, which are
/// that share together.
#[derive(Debug)]
pub struct SharedRetryBudget {
    allowance: RetryAllowance,
    /// This entry's share of the slack, from 0 to 1.
    share: f64,
    retries: f64,
    /// Time up to which retries of the slack have been earned.
    earned_until_ms: u64,
}

impl SharedRetryBudget {
    /// Creates the budget of a new process, which has one retry and a share of the slack, from 0 to 1.
    #[must_use]
    pub fn new(allowance: RetryAllowance, share: f64, now_ms: u64) -> Self {
        Self {
            allowance,
            share,
            retries: MIN_SAVED_RETRIES,
            earned_until_ms: now_ms,
        }
    }

    /// Adds all retries that may be saved up.
    #[must_use]
    pub fn filled(mut self) -> Self {
        self.retries = self.most_saved();
        self
    }

    /// Sets this entry's share of the slack from now on.
    pub fn set_share(&mut self, share: f64, now_ms: u64) {
        self.earn(now_ms);
        self.share = share;
        self.retries = self.retries.min(self.most_saved());
    }

    /// Records the first attempt of a request; retries are not recorded.
    pub fn record_request(&mut self) {
        self.add(self.allowance.ratio);
    }

    /// Takes one retry from the budget; returns `false` when none is left.
    pub fn try_retry(&mut self, now_ms: u64) -> bool {
        self.earn(now_ms);
        let is_allowed = self.retries >= 1.0;
        if is_allowed {
            self.retries -= 1.0;
        }
        is_allowed
    }

    /// Returns the retries that are left; a part of one can't be used yet.
    #[must_use]
    pub fn retries_left(&self) -> f64 {
        self.retries
    }

    fn earn(&mut self, now_ms: u64) {
        let elapsed_ms = as_f64(now_ms.saturating_sub(self.earned_until_ms));
        self.earned_until_ms = now_ms;
        let earned_per_window = (self.own_slack() - self.most_saved()).max(0.0);
        let window_ms = as_f64(self.allowance.window_ms.max(1));
        self.add(earned_per_window * elapsed_ms / window_ms);
    }

    fn add(&mut self, retries: f64) {
        self.retries = (self.retries + retries).min(self.most_saved());
    }

    fn most_saved(&self) -> f64 {
        (self.own_slack() * SAVED_SHARE).max(MIN_SAVED_RETRIES)
    }

    fn own_slack(&self) -> f64 {
        self.allowance.slack * self.share
    }
}
