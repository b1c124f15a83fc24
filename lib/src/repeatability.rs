//! How often a call of a route may run.

use pomeloramp_proc_macros::value;

/// How often a call of a route may run.
#[value]
#[derive(Copy)]
pub enum Repeatability {
    /// The call may run any number of times.
    Idempotent,
    /// The call may run once at most.
    Once,
    /// The answer is a stream of events that can be resumed after any event.
    ResumableStream,
    /// The answer is a stream of events that may run once at most.
    Stream,
}

impl Repeatability {
    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Returns whether the call may be sent again after it may have run.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}
