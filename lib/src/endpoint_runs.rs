//! Contents that run on one endpoint, and which of them must run alone.

use std::collections::HashMap;

use pomeloramp_proc_macros::key;

use crate::ContentFingerprint;
use crate::ContentStanding;
use crate::RequestNumber;

/// Whether a request may start now.
#[key]
pub enum StartPermit {
    /// It has started.
    Started,
    /// It must wait until the endpoint is empty, or until a suspect has run alone.
    Wait,
    /// Its content is refused for good.
    Refused,
}

/// Contents that run on one endpoint.
///
/// A suspect starts only on an empty endpoint, and nothing starts beside it. While a suspect waits
/// for the endpoint to empty, no other request starts, so that its turn comes.
#[derive(Debug, Default)]
pub struct EndpointRuns {
    running: HashMap<RequestNumber, ContentFingerprint>,
    /// The suspect that runs alone.
    alone: Option<RequestNumber>,
    /// The suspect for which the endpoint empties.
    waiting: Option<RequestNumber>,
}

impl EndpointRuns {
    /// Makes the account of an empty endpoint.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a request if it may start now.
    pub fn try_start(
        &mut self,
        number: RequestNumber,
        content: ContentFingerprint,
        standing: ContentStanding,
    ) -> StartPermit {
        let others_wait = self.waiting.is_some_and(|waiting| waiting != number);
        match standing {
            ContentStanding::Quarantined => {
                self.withdraw(number);
                return StartPermit::Refused;
            }
            _ if self.alone.is_some() || others_wait => return StartPermit::Wait,
            ContentStanding::Suspect if !self.running.is_empty() => {
                self.waiting = Some(number);
                return StartPermit::Wait;
            }
            ContentStanding::Suspect => self.alone = Some(number),
            ContentStanding::Clear => {}
        }
        self.waiting = None;
        self.running.insert(number, content);
        StartPermit::Started
    }

    /// Notes that a request which waits was given up.
    pub fn withdraw(&mut self, number: RequestNumber) {
        self.waiting.take_if(|waiting| *waiting == number);
    }

    /// Notes that a request ended without a crash.
    ///
    /// Returns its content if it was a suspect that ran alone; if it ended well,
    /// [`Quarantine::ran_well_alone`](crate::Quarantine::ran_well_alone) is due.
    pub fn ended(&mut self, number: RequestNumber) -> Option<ContentFingerprint> {
        let content = self.running.remove(&number)?;
        let was_alone = self.alone.take_if(|alone| *alone == number).is_some();
        was_alone.then_some(content)
    }

    /// Notes that the endpoint crashed, and returns what ran on it, for
    /// [`Quarantine::crashed`](crate::Quarantine::crashed).
    pub fn crashed(&mut self) -> Vec<ContentFingerprint> {
        self.alone = None;
        self.running.drain().map(|(_, content)| content).collect()
    }

    /// Returns whether the request has started and neither ended nor crashed.
    #[must_use]
    pub fn is_running(&self, number: RequestNumber) -> bool {
        self.running.contains_key(&number)
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no request runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }
}
