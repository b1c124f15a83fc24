//! For how long an endpoint that turns a call away wants no further ones.

use std::time::Duration;

use crate::as_ms::as_ms;

/// Longest invalid text that is kept for the log, in characters.
const MAX_TEXT_CHARACTERS: usize = 40;

/// For how long an endpoint that turns a call away wants no further ones from this entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// The endpoint does not say.
    #[default]
    None,
    /// Milliseconds; `u64::MAX` for times that do not fit.
    Ms(u64),
    /// The text is not one number of seconds.
    Invalid {
        /// The text, or its beginning.
        text: String,
        /// The longest time among several values, if any of them is valid.
        longest_ms: Option<u64>,
    },
}

impl RetryAfter {
    /// Reads the values of a field: one decimal number of seconds.
    pub fn parse<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let values: Vec<&str> = values.into_iter().collect();
        let longest_ms = values.iter().filter_map(|value| parse_seconds(value)).max();
        match (values.as_slice(), longest_ms) {
            ([], _) => Self::None,
            ([_], Some(length_ms)) => Self::Ms(length_ms),
            _ => Self::Invalid {
                text: values
                    .join(", ")
                    .chars()
                    .take(MAX_TEXT_CHARACTERS)
                    .collect(),
                longest_ms,
            },
        }
    }

    /// Returns the time for which the endpoint wants no calls; `None` if it names none.
    #[must_use]
    pub fn length_ms(&self) -> Option<u64> {
        match self {
            Self::None => None,
            Self::Ms(length_ms) => Some(*length_ms),
            Self::Invalid { longest_ms, .. } => *longest_ms,
        }
    }
}

/// Returns a number of seconds in milliseconds, rounded up; `None` for what is none.
fn parse_seconds(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    if seconds.is_nan() || seconds.is_sign_negative() {
        return None;
    }
    let length = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    Some(as_ms(length.saturating_add(Duration::from_micros(999))))
}
