//! A call that was not answered by its endpoint.

use pomeloramp_proc_macros::key;

use crate::Outcome;
use crate::RefusalCode;
use crate::RetryAdvice;

/// The outcome of a call that has no answer, and what its caller may do next.
#[key]
pub struct Refusal {
    /// [`Outcome::NotRun`] or [`Outcome::Unknown`].
    pub outcome: Outcome,
    /// Stable code of the reason.
    pub code: RefusalCode,
    /// What the caller may do next.
    pub retry: RetryAdvice,
}

impl Refusal {
    /// Creates the refusal of a call that did not run and may be sent again with a fresh placement.
    #[must_use]
    pub fn not_run(code: RefusalCode, after_ms: u64) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code,
            retry: RetryAdvice::FreshPlacement { after_ms },
        }
    }

    /// Creates the refusal of a call that may have run; to resend it unchanged is safe and may show
    /// the outcome.
    #[must_use]
    pub fn unknown(code: RefusalCode, after_ms: u64) -> Self {
        Self {
            outcome: Outcome::Unknown,
            code,
            retry: RetryAdvice::SamePlacement { after_ms },
        }
    }

    /// Creates the refusal of a call that may have run and whose outcome no resend can show.
    #[must_use]
    pub fn unknown_final(code: RefusalCode) -> Self {
        Self {
            outcome: Outcome::Unknown,
            code,
            retry: RetryAdvice::Never,
        }
    }
}
