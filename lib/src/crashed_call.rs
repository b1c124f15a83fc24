//! What identifies a call whose endpoint may have crashed.

use std::sync::Arc;

use crate::ContentFingerprint;
use crate::EndpointRecord;
use crate::PromptPart;
use crate::short_hash::short_hash;

/// What a call requests, as far as the crash of an endpoint may depend on it.
#[derive(Debug, Clone)]
pub(crate) struct CallContent {
    /// Identifies the requested content and its organisation; does not depend on the request id.
    pub(crate) fingerprint: ContentFingerprint,
    /// Parts of the prompt that other calls may share.
    pub(crate) parts: Arc<[PromptPart]>,
}

/// A call whose connection to its endpoint broke.
#[derive(Debug, Clone)]
pub(crate) struct CrashedCall {
    pub(crate) request_id: String,
    pub(crate) content: CallContent,
    /// Identifies the run of the endpoint, which can crash once.
    pub(crate) crash: u32,
}

impl CrashedCall {
    /// Creates the record of a call that broke at `endpoint`.
    pub(crate) fn new(request_id: &str, content: &CallContent, endpoint: &EndpointRecord) -> Self {
        Self {
            request_id: request_id.to_owned(),
            content: content.clone(),
            crash: short_hash(&format!("{} {}", endpoint.id, endpoint.born_ms)),
        }
    }

    /// Returns the ids of the call's prompt parts, separated by commas, for log lines.
    pub(crate) fn part_list(&self) -> String {
        let parts: Vec<String> = self.content.parts.iter().map(ToString::to_string).collect();
        parts.join(",")
    }
}
