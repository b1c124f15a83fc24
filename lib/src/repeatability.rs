//! How many times the calls of a route may run.

use pomeloramp_proc_macros::value;

/// How many times the calls of a route may run, and whether they are answered with a stream.
#[value]
#[derive(Copy)]
pub enum Repeatability {
    /// The call may run any number of times.
    Idempotent,
    /// The call may run at most once.
    Once,
    /// The answer is a stream of events, which can be resumed after any event.
    ResumableStream,
    /// The answer is a stream of events, and the call may run at most once.
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
