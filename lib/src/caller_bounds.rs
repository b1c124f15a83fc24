//! Limits on the size and duration of callers' requests.

use pomeloramp_proc_macros::value;

/// Limits on the size and duration of callers' requests.
#[value]
#[derive(Copy)]
pub struct CallerBounds {
    /// Maximum size of a request's head.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Timeout for the arrival of a complete request head.
    pub head_timeout_ms: u64,
    /// How long a connection may be idle, without a request.
    pub idle_timeout_ms: u64,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
