//! What the head of an endpoint's answer says about the calls that the endpoint takes.

/// What the head of an endpoint's answer says about the calls that the endpoint takes from all
/// entries together.
#[derive(Debug, Clone, PartialEq)]
pub enum NamedLimit {
    /// The endpoint names no limit.
    None,
    /// Calls a second; finite and not negative.
    CallsPerS(f64),
    /// The field is there, and its text is no limit.
    Invalid(String),
}

impl NamedLimit {
    /// Longest invalid text that is kept for the log, in characters.
    const MAX_TEXT_CHARACTERS: usize = 40;

    /// Reads the text of a field: a decimal number of calls a second.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(calls_per_s) if calls_per_s.is_finite() && calls_per_s >= 0.0 => {
                Self::CallsPerS(calls_per_s)
            }
            _ => Self::invalid(text),
        }
    }

    /// Creates what an answer with an invalid field says.
    #[must_use]
    pub fn invalid(text: &str) -> Self {
        let text = text.chars().take(Self::MAX_TEXT_CHARACTERS);
        Self::Invalid(text.collect())
    }
}
