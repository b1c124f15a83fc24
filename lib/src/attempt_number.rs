//! How often a caller has sent one call under one placement.

use pomeloramp_proc_macros::key;
use snafu::OptionExt;
use snafu::Snafu;

/// The caller's count of sends of one call under one placement.
///
/// Only a call that is marked as the first send may be reported as not run by a process that has
/// no record of it. A call without a mark counts as a resend.
#[key]
pub struct AttemptNumber(u32);

/// Why the attempt header of a call was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("attempt {text:?} is not a whole number from 1 to {}", u32::MAX))]
pub struct AttemptNumberError {
    /// The header as it was sent.
    text: String,
}

impl AttemptNumber {
    /// The first send of a call.
    pub const FIRST: Self = Self(1);
    /// A call whose caller did not number its attempt.
    pub const UNMARKED: Self = Self(0);

    /// Takes the number as it stands in a message, zero meaning unmarked.
    #[must_use]
    pub fn new(number: u32) -> Self {
        Self(number)
    }

    /// Reads the attempt header; a missing header counts as a resend.
    ///
    /// # Errors
    ///
    /// Fails if the header is present and is not a whole number from 1 up.
    pub fn from_header(header: Option<&str>) -> Result<Self, AttemptNumberError> {
        let Some(text) = header else {
            return Ok(Self::UNMARKED);
        };
        text.parse()
            .ok()
            .filter(|number| *number > 0)
            .map(Self)
            .context(AttemptNumberSnafu { text })
    }

    /// Returns the number for a message, zero meaning unmarked.
    #[must_use]
    pub fn get(self) -> u32 {
        self.0
    }

    /// Returns whether the caller vouches that it never sent this call before.
    #[must_use]
    pub fn is_first_send(self) -> bool {
        self == Self::FIRST
    }

    /// Returns the number of the next resend.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.max(1).saturating_add(1))
    }
}
