//! Reasons why a request is refused before it is sent.

use pomeloramp_proc_macros::key;

/// Reason why a request is refused before it is sent.
#[key]
pub enum RefusalCode {
    /// No endpoint takes new work.
    NoEndpoint,
    /// Every endpoint's queue is too long for the deadline.
    Overloaded,
    /// The deadline could not be met by an idle endpoint either.
    DeadlineTooShort,
}

impl RefusalCode {
    /// Returns the stable code that callers see.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no-endpoint",
            Self::Overloaded => "overloaded",
            Self::DeadlineTooShort => "deadline-too-short",
        }
    }
}
