//! Number of a caller's attempt of one call under one placement.

use pomeloramp_proc_macros::key;
use snafu::OptionExt;
use snafu::Snafu;

/// How many times the caller has sent a call under one placement, including this send.
///
/// A process that has no record of a call may report it as not run only if it is marked as the
/// first send. A call without an attempt number counts as a resend.
#[key]
pub struct AttemptNumber(u32);

/// Why the attempt header of a call was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("attempt {text:?} is not a whole number from 1 to {}", u32::MAX))]
pub struct AttemptNumberError {
    /// Value of the header as received.
    text: String,
}

impl AttemptNumber {
    /// The first send of a call.
    pub const FIRST: Self = Self(1);
    /// A call without an attempt number.
    pub const UNMARKED: Self = Self(0);

    /// Creates the number from its value in a message, where zero means unmarked.
    #[must_use]
    pub fn new(number: u32) -> Self {
        Self(number)
    }

    /// Parses the attempt header. A missing header counts as a resend.
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

    /// Returns the value for a message, where zero means unmarked.
    #[must_use]
    pub fn get(self) -> u32 {
        self.0
    }

    /// Returns whether the caller guarantees that it never sent this call before.
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
