//! A limit on retries, so that an outage does not cause a retry storm.

/// Budget units per retry; with 100 of them, percentages are exact.
const UNITS_PER_RETRY: u64 = 100;

/// A limit on the retries of one service, in percent of its requests.
///
/// Every request earns a fraction of a retry, and every retry spends a whole one. Unused retries
/// are kept up to a limit, so that a long time without retries does not allow a retry storm. A
/// service with few requests earns retries at a low fixed rate as well.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    max_units: u64,
    floor_interval_ms: u64,
    units: u64,
    /// Time up to which retries have been earned at the fixed rate.
    floor_earned_until_ms: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    ///
    /// At most `max_retries` unused retries are kept. One retry is earned every
    /// `floor_interval_ms` even without requests.
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

    /// Records the first attempt of a request; retries are not recorded.
    pub fn record_request(&mut self) {
        self.earn(self.percent);
    }

    /// Takes one retry from the budget; returns `false` when none is left.
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
