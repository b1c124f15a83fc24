//! What an entry daemon may say of a call that its home did not answer.

use crate::AttemptNumber;
use crate::Refusal;
use crate::RefusalCode;

/// What an entry daemon may say of a call that its home did not answer.
///
/// An entry sends each attempt to its home once at most and never to another agent. What it may
/// say then depends only on whether this is a first send and whether a byte of it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPolicy {
    attempt: AttemptNumber,
    retry_after_ms: u64,
}

impl AttemptPolicy {
    /// Makes the policy for one attempt; `retry_after_ms` is the delay that callers are advised.
    #[must_use]
    pub fn new(attempt: AttemptNumber, retry_after_ms: u64) -> Self {
        Self {
            attempt,
            retry_after_ms,
        }
    }

    /// Refuses a call of which this entry wrote no byte to any agent, and never will.
    ///
    /// A first send did not run then. An earlier send may have, through another entry.
    #[must_use]
    pub fn refuse_unwritten(self, code: RefusalCode) -> Refusal {
        if self.attempt.is_first_send() {
            Refusal::not_run(code, self.retry_after_ms)
        } else {
            Refusal::unknown(code, self.retry_after_ms)
        }
    }

    /// Answers for a call that was written, in part or whole, and got no valid final frame.
    #[must_use]
    pub fn answer_lost(self, code: RefusalCode) -> Refusal {
        Refusal::unknown(code, self.retry_after_ms)
    }

    /// Refuses a call that came without a placement.
    ///
    /// A resend without one is told [`Outcome::Unknown`](crate::Outcome::Unknown): it may have
    /// been placed when it was first sent.
    #[must_use]
    pub fn placement_missing(self) -> Refusal {
        self.refuse_unwritten(RefusalCode::PlacementRequired)
    }
}
