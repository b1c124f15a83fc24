//! Outcome that an entry daemon may report for a call that its agent did not answer.

use crate::AttemptNumber;
use crate::Refusal;
use crate::RefusalCode;

/// Outcome that an entry daemon may report for a call that its agent did not answer.
///
/// An entry sends each attempt at most once to the agent that the placement assigns, and never to
/// another one. The outcome that it may report then depends only on whether this is a first send
/// and whether a byte of it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPolicy {
    attempt: AttemptNumber,
    retry_after_ms: u64,
}

impl AttemptPolicy {
    /// Creates the policy for one attempt. `retry_after_ms` is the retry delay that callers are
    /// advised.
    #[must_use]
    pub fn new(attempt: AttemptNumber, retry_after_ms: u64) -> Self {
        Self {
            attempt,
            retry_after_ms,
        }
    }

    /// Refuses a call of which this entry wrote no byte to any agent and never will.
    ///
    /// A first send did not run in that case. Of a resend, an earlier send may have run through
    /// another entry.
    #[must_use]
    pub fn refuse_unwritten(self, code: RefusalCode) -> Refusal {
        if self.attempt.is_first_send() {
            Refusal::not_run(code, self.retry_after_ms)
        } else {
            Refusal::unknown(code, self.retry_after_ms)
        }
    }

    /// Refuses a call that was written in part or completely and got no valid final frame.
    #[must_use]
    pub fn answer_lost(self, code: RefusalCode) -> Refusal {
        Refusal::unknown(code, self.retry_after_ms)
    }

    /// Refuses a call without a placement.
    ///
    /// The outcome of a resend is [`Outcome::Unknown`](crate::Outcome::Unknown), because the first
    /// send may have had a placement.
    #[must_use]
    pub fn placement_missing(self) -> Refusal {
        self.refuse_unwritten(RefusalCode::PlacementRequired)
    }
}
