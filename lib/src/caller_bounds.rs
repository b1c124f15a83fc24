//! What a caller may send, and how long it may take.

use pomeloramp_proc_macros::value;

/// What a caller may send, and how long it may take.
#[value]
#[derive(Copy)]
pub struct CallerBounds {
    /// Size of a request head.
    pub max_head_bytes: usize,
    /// Size of a request body.
    pub max_body_bytes: usize,
    /// Time for a whole request head.
    pub head_timeout_ms: u64,
    /// Time that a connection may stay without a request.
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
