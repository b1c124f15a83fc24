//! States of an endpoint that restrict the requests it is sent.

use pomeloramp_proc_macros::key;

/// States of an endpoint that restrict the requests it is sent; all are false for an ordinary
/// endpoint.
#[key]
#[derive(Default)]
pub struct EndpointFlags {
    /// The endpoint is shutting down and takes no new work.
    pub leaving: bool,
    /// Heartbeats are missing; the endpoint is used only when no other one is left.
    pub suspected: bool,
    /// The endpoint runs in isolation a request that is suspected of causing a crash.
    pub quarantining: bool,
}

impl EndpointFlags {
    /// Returns whether the endpoint may be sent work without restriction.
    #[must_use]
    pub fn is_open(self) -> bool {
        !self.leaving && !self.suspected && !self.quarantining
    }

    /// Returns whether the endpoint may be sent work if no open endpoint is left.
    #[must_use]
    pub fn is_last_resort(self) -> bool {
        self.suspected && !self.leaving && !self.quarantining
    }
}
