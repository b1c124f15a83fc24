//! Conversion of times to whole milliseconds.

use std::time::Duration;

/// Returns a time in whole milliseconds, the largest number if it does not fit.
pub(crate) fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
