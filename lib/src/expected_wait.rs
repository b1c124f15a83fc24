//! How long a call is expected to wait for an endpoint, and what for.

use crate::RefusalCode;

/// Bounds of the retry delay of a refused call whose wait is predicted.
pub(crate) const MIN_RETRY_AFTER_MS: u64 = 150;
const MAX_RETRY_AFTER_MS: u64 = 2_500;

/// How long a call is expected to wait, and what for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExpectedWait {
    pub(crate) wait_ms: u64,
    /// Time after which a caller that does not wait should come again.
    pub(crate) retry_after_ms: u64,
    /// Code of the refusal of a call that can't wait so long.
    pub(crate) code: RefusalCode,
}

impl ExpectedWait {
    /// Returns the retry delay of a call that is refused. The end of a pause is known, other waits are
    /// predicted.
    pub(crate) fn retry_delay_ms(&self) -> u64 {
        match self.code {
            RefusalCode::EndpointsPaused => self.retry_after_ms.max(MIN_RETRY_AFTER_MS),
            _ => self
                .retry_after_ms
                .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        }
    }
}
