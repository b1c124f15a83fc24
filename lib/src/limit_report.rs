//! What one entry tells another of the limit of an endpoint.

/// What one entry tells another of the limit of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Hash of the id and the run of the endpoint.
    pub endpoint: u32,
    /// Calls a second that the endpoint takes from all entries together; absent when it names no
    /// limit any more.
    pub calls_per_s: Option<f64>,
    /// Time since the endpoint answered so.
    pub age_ms: u64,
}

impl LimitReport {
    /// Returns whether the limit, if there is one, is a finite number and not negative.
    pub(crate) fn is_valid(&self) -> bool {
        let calls_per_s = self.calls_per_s;
        calls_per_s.is_none_or(|calls_per_s| calls_per_s.is_finite() && calls_per_s >= 0.0)
    }
}
