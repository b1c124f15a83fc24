//! A token bucket, which allows calls at a steady rate.

use crate::as_f64::as_f64;

/// Time whose tokens a bucket holds, if they are more than one.
const CAPACITY_S: f64 = 0.25;
const MS_PER_S: f64 = 1_000.0;

/// A token bucket, which allows calls at a steady rate. It starts empty.
#[derive(Debug, Default)]
pub(crate) struct TokenBucket {
    calls_per_s: f64,
    tokens: f64,
    /// Time up to which tokens were earned.
    earned_until_ms: u64,
}

impl TokenBucket {
    /// Sets the rate from now on; tokens that were earned before are kept.
    pub(crate) fn set_rate(&mut self, calls_per_s: f64, now_ms: u64) {
        self.earn(now_ms);
        self.calls_per_s = calls_per_s;
    }

    /// Drops all tokens beyond `tokens`.
    pub(crate) fn truncate(&mut self, tokens: f64, now_ms: u64) {
        self.earn(now_ms);
        self.tokens = self.tokens.min(tokens);
    }

    /// Returns the rate, in calls a second.
    pub(crate) fn calls_per_s(&self) -> f64 {
        self.calls_per_s
    }

    /// Returns the whole calls that are allowed now; none at a rate of zero, whatever was earned.
    pub(crate) fn calls(&self, now_ms: u64) -> f64 {
        if self.calls_per_s <= 0.0 {
            return 0.0;
        }
        self.tokens(now_ms).floor()
    }

    /// Takes the token of one call, of which there must be one.
    pub(crate) fn take(&mut self, now_ms: u64) {
        self.earn(now_ms);
        self.tokens -= 1.0;
    }

    /// Returns the time until a call is allowed; `None` if that never happens at this rate.
    pub(crate) fn wait_ms(&self, now_ms: u64) -> Option<f64> {
        if self.calls_per_s <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.tokens(now_ms)).max(0.0);
        Some(missing / self.calls_per_s * MS_PER_S)
    }

    fn tokens(&self, now_ms: u64) -> f64 {
        let elapsed_ms = as_f64(now_ms.saturating_sub(self.earned_until_ms));
        let capacity = (self.calls_per_s * CAPACITY_S).max(1.0);
        let earned = self.tokens + elapsed_ms * self.calls_per_s / MS_PER_S;
        earned.min(capacity)
    }

    fn earn(&mut self, now_ms: u64) {
        self.tokens = self.tokens(now_ms);
        self.earned_until_ms = now_ms;
    }
}
