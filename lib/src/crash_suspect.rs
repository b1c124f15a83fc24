//! What calls may have in common that crashes endpoints.

use std::fmt;

use pomeloramp_proc_macros::key;

use crate::ContentFingerprint;
use crate::PromptPart;

/// What calls may have in common that crashes endpoints.
#[key]
pub enum CrashSuspect {
    /// The whole content, which a caller sends again under another request id.
    Content(ContentFingerprint),
    /// A part of the prompt, whatever else the calls hold.
    Part(PromptPart),
}

impl CrashSuspect {
    /// Returns the name of the kind, for log lines.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Content(_) => "content",
            Self::Part(_) => "part",
        }
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(fingerprint) => write!(formatter, "{:016x}", fingerprint.0),
            Self::Part(part) => write!(formatter, "{part}"),
        }
    }
}
