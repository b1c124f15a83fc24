//! A part of a prompt that calls may share.

use std::fmt;

use pomeloramp_proc_macros::key;

/// Identifies a part of prompts by the id that callers give it, whichever service the calls are for.
#[key]
pub struct PromptPart(pub u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}
