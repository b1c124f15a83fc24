//! Outcome of a request.

use pomeloramp_proc_macros::key;
use serde::Deserialize;
use serde::Serialize;

use crate::protos::control;

/// Outcome of a request, as reported to its caller.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran.
    Ran,
    /// The request was not run and never will be.
    NotRun,
    /// Whether the request ran is unknown.
    Unknown,
}

impl Outcome {
    /// Returns the name in headers and error bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl From<control::Outcome> for Outcome {
    fn from(outcome: control::Outcome) -> Self {
        match outcome {
            control::Outcome::Ran => Self::Ran,
            control::Outcome::NotRun => Self::NotRun,
            control::Outcome::Unspecified | control::Outcome::Unknown => Self::Unknown,
        }
    }
}

impl From<Outcome> for control::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Ran => Self::Ran,
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        }
    }
}
