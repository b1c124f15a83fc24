//! A call that was not answered by its endpoint.

use pomeloramp_proc_macros::key;

use crate::Outcome;
use crate::RefusalCode;
use crate::RetryAdvice;

/// Tells a caller what became of a call without an answer, and what it may do.
#[key]
pub struct Refusal {
    /// [`Outcome::NotRun`] or [`Outcome::Unknown`].
    pub outcome: Outcome,
    /// Stable reason.
    pub code: RefusalCode,
    /// What the caller may do next.
    pub retry: RetryAdvice,
}

impl Refusal {
    /// The call did not run and may begin anew with a fresh placement.
    #[must_use]
    pub fn not_run(code: RefusalCode, after_ms: u64) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code,
            retry: RetryAdvice::FreshPlacement { after_ms },
        }
    }

    /// The call may have run; resending it unchanged is safe and may bring certainty.
    #[must_use]
    pub fn unknown(code: RefusalCode, after_ms: u64) -> Self {
        Self {
            outcome: Outcome::Unknown,
            code,
            retry: RetryAdvice::SamePlacement { after_ms },
        }
    }

    /// The call may have run, and no resend will tell.
    #[must_use]
    pub fn unknown_final(code: RefusalCode) -> Self {
        Self {
            outcome: Outcome::Unknown,
            code,
            retry: RetryAdvice::Never,
        }
    }
}
