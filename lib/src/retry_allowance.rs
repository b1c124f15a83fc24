//! How many retries the platform allows all entries together.

/// Share of the allowed retries that entries use. The rest is for the moments in which entries have not
/// yet noticed that others have started or stopped.
const USED_SHARE: f64 = 0.75;

/// How many retries the platform allows all entries together, for each service and any time of a given
/// length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond these, whatever the number of requests.
    pub slack: f64,
    /// Length of the time, in milliseconds.
    pub window_ms: u64,
}

impl RetryAllowance {
    /// Returns the part of the allowance that entries use.
    #[must_use]
    pub fn used(self) -> Self {
        Self {
            ratio: self.ratio * USED_SHARE,
            slack: self.slack * USED_SHARE,
            ..self
        }
    }
}
