//! Requests that run on one endpoint, with isolation of suspect content.

use std::collections::HashMap;

use pomeloramp_proc_macros::key;

use crate::ContentFingerprint;
use crate::ContentStatus;
use crate::RequestNumber;

/// Whether a request may start now.
#[key]
pub enum StartPermit {
    /// The request was started.
    Started,
    /// The request must wait until the endpoint is idle, or until an isolated suspect has ended.
    Wait,
    /// The content of the request is quarantined, so the request is refused for good.
    Refused,
}

/// Requests that run on one endpoint, with their contents.
///
/// A request with suspect content starts only on an idle endpoint, and no other request starts
/// while it runs. While a suspect waits for the endpoint to become idle, no other request starts,
/// so that the suspect is not starved.
#[derive(Debug, Default)]
pub struct EndpointRuns {
    running: HashMap<RequestNumber, ContentFingerprint>,
    /// The suspect that runs in isolation.
    isolated: Option<RequestNumber>,
    /// The suspect that waits for the endpoint to become idle.
    waiting: Option<RequestNumber>,
}

impl EndpointRuns {
    /// Creates the state of an idle endpoint.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a request if nothing requires it to wait.
    pub fn try_start(
        &mut self,
        number: RequestNumber,
        content: ContentFingerprint,
        content_status: ContentStatus,
    ) -> StartPermit {
        let another_waits = self.waiting.is_some_and(|waiting| waiting != number);
        match content_status {
            ContentStatus::Quarantined => {
                self.withdraw(number);
                return StartPermit::Refused;
            }
            _ if self.isolated.is_some() || another_waits => return StartPermit::Wait,
            ContentStatus::Suspect if !self.running.is_empty() => {
                self.waiting = Some(number);
                return StartPermit::Wait;
            }
            ContentStatus::Suspect => self.isolated = Some(number),
            ContentStatus::Clear => {}
        }
        self.waiting = None;
        self.running.insert(number, content);
        StartPermit::Started
    }

    /// Handles a waiting request that was abandoned.
    pub fn withdraw(&mut self, number: RequestNumber) {
        self.waiting.take_if(|waiting| *waiting == number);
    }

    /// Handles a request that ended without a crash.
    ///
    /// Returns its content if it was a suspect that ran in isolation. If the request succeeded, the
    /// caller must then call [`Quarantine::record_solo_success`](crate::Quarantine::record_solo_success).
    pub fn ended(&mut self, number: RequestNumber) -> Option<ContentFingerprint> {
        let content = self.running.remove(&number)?;
        let was_isolated = self
            .isolated
            .take_if(|isolated| *isolated == number)
            .is_some();
        was_isolated.then_some(content)
    }

    /// Handles a crash of the endpoint, and returns the contents that ran on it, to be passed to
    /// [`Quarantine::crashed`](crate::Quarantine::crashed).
    pub fn crashed(&mut self) -> Vec<ContentFingerprint> {
        self.isolated = None;
        self.running.drain().map(|(_, content)| content).collect()
    }

    /// Returns whether the request has started and neither ended nor crashed.
    #[must_use]
    pub fn is_running(&self, number: RequestNumber) -> bool {
        self.running.contains_key(&number)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no request is running.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }
}
