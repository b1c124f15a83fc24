//! A call whose endpoint may have crashed.

use std::sync::Arc;

use crate::CrashSuspect;
use crate::EndpointRun;

/// Most suspects of a call in a log line.
const MAX_LISTED_SUSPECTS: usize = 64;

/// A call whose connection to its endpoint broke, or that the endpoint left unanswered.
#[derive(Debug, Clone)]
pub(crate) struct CrashedCall {
    pub(crate) request_id: String,
    /// What the call may have in common with others that crash endpoints.
    pub(crate) suspects: Arc<[CrashSuspect]>,
    /// Identifies the run of the endpoint, which can crash once.
    pub(crate) crash: u32,
}

impl CrashedCall {
    /// Creates the record of a call that the run of an endpoint did not answer.
    pub(crate) fn new(request_id: &str, suspects: &Arc<[CrashSuspect]>, run: &EndpointRun) -> Self {
        Self {
            request_id: request_id.to_owned(),
            suspects: Arc::clone(suspects),
            crash: run.hash(),
        }
    }

    /// Returns the suspects that `is_relevant` selects, separated by commas, for log lines; at most
    /// [`MAX_LISTED_SUSPECTS`].
    pub(crate) fn suspect_list(&self, is_relevant: impl Fn(CrashSuspect) -> bool) -> String {
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|suspect| is_relevant(**suspect));
        let listed = suspects.take(MAX_LISTED_SUSPECTS);
        let listed: Vec<String> = listed.map(ToString::to_string).collect();
        listed.join(",")
    }
}
