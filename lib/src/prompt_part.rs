//! A part of a prompt that calls may share.

use std::fmt;

use pomeloramp_proc_macros::key;

use crate::short_hash::short_hash;

/// Identifies a part of the prompts of one service.
#[key]
pub struct PromptPart {
    /// Hash of the service's name.
    pub service: u32,
    /// Id of the part, as callers name it.
    pub id: u64,
}

impl PromptPart {
    /// Returns the part with this id in prompts of a service.
    #[must_use]
    pub fn of(service: &str, id: u64) -> Self {
        let service = short_hash(service);
        Self { service, id }
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.id)
    }
}
