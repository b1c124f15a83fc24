//! The load report of an endpoint.

use pomeloramp_proc_macros::document;

/// The load report of an endpoint.
#[document]
#[derive(Default)]
pub(crate) struct EngineLoad {
    pub(crate) running: u32,
    pub(crate) queued: u32,
    /// Prompt tokens of the queued requests.
    pub(crate) queued_tokens: u64,
    /// Requests that run at once.
    pub(crate) capacity: u32,
    pub(crate) prefill_tokens_per_s: u64,
}
