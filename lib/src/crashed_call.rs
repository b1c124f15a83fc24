//! A call whose endpoint may have crashed.

use std::sync::Arc;

use crate::CrashSuspect;
use crate::EndpointRecord;
use crate::short_hash::short_hash;

/// A call whose connection to its endpoint broke.
#[derive(Debug, Clone)]
pub(crate) struct CrashedCall {
    pub(crate) request_id: String,
    /// What the call may have in common with others that crash endpoints.
    pub(crate) suspects: Arc<[CrashSuspect]>,
    /// Identifies the run of the endpoint, which can crash once.
    pub(crate) crash: u32,
}

impl CrashedCall {
    /// Creates the record of a call that broke at `endpoint`.
    pub(crate) fn new(
        request_id: &str,
        suspects: &Arc<[CrashSuspect]>,
        endpoint: &EndpointRecord,
    ) -> Self {
        Self {
            request_id: request_id.to_owned(),
            suspects: Arc::clone(suspects),
            crash: short_hash(&format!("{} {}", endpoint.id, endpoint.born_ms)),
        }
    }

    /// Returns the suspects separated by commas, for log lines.
    pub(crate) fn suspect_list(&self) -> String {
        let suspects = self.suspects.iter();
        let suspects: Vec<String> = suspects.map(ToString::to_string).collect();
        suspects.join(",")
    }
}
