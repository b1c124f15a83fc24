//! What became of a request.

use pomeloramp_proc_macros::key;
use serde::Deserialize;
use serde::Serialize;

use crate::protos::control;

/// What became of a request, as told to its caller.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran.
    Ran,
    /// The request was not run and never will be.
    NotRun,
    /// Whether the request ran is not known.
    Unknown,
}

impl Outcome {
    /// Returns the name that callers see.
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
