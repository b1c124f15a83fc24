//! Bound on retries, so that an outage is not followed by a storm of them.

/// Parts into which one retry is divided, so that percents are exact.
const UNITS_PER_RETRY: u64 = 100;

/// Bound on the retries of one service, in percent of its requests.
///
/// Every request earns a part of a retry; every retry spends a whole one. What is earned is kept
/// up to a limit, so that a quiet time can't save up a storm. A service with few requests may
/// still retry at a slow rate of its own.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    max_units: u64,
    floor_interval_ms: u64,
    units: u64,
    /// Time up to which the floor's retries have been earned.
    floor_earned_until_ms: u64,
}

impl RetryBudget {
    /// Makes a full budget.
    ///
    /// At most `max_retries` are saved up; one more retry is earned every `floor_interval_ms`,
    /// without any request.
    #[must_use]
    pub fn new(percent: u32, max_retries: u32, floor_interval_ms: u64, now_ms: u64) -> Self {
        let max_units = u64::from(max_retries) * UNITS_PER_RETRY;
        Self {
            percent: u64::from(percent),
            max_units,
            floor_interval_ms: floor_interval_ms.max(1),
            units: max_units,
            floor_earned_until_ms: now_ms,
        }
    }

    /// Notes a first attempt of a request. Retries are not noted.
    pub fn record_request(&mut self) {
        self.earn(self.percent);
    }

    /// Takes one retry from the budget, or tells that none is left.
    pub fn try_retry(&mut self, now_ms: u64) -> bool {
        self.earn_floor(now_ms);
        let Some(rest) = self.units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.units = rest;
        true
    }

    fn earn(&mut self, units: u64) {
        self.units = self.units.saturating_add(units).min(self.max_units);
    }

    fn earn_floor(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.floor_earned_until_ms);
        let earned = elapsed_ms / self.floor_interval_ms;
        self.floor_earned_until_ms += earned * self.floor_interval_ms;
        self.earn(earned.saturating_mul(UNITS_PER_RETRY));
    }
}
