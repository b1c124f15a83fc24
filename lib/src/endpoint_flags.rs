//! States of an endpoint that keep work away from it.

use pomeloramp_proc_macros::key;

/// States of an endpoint that keep work away from it; all are false for an ordinary endpoint.
#[key]
#[derive(Default)]
pub struct EndpointFlags {
    /// The endpoint shuts down and takes no new work.
    pub leaving: bool,
    /// Heartbeats are missing; the endpoint is used only when no other one is left.
    pub suspected: bool,
    /// The endpoint runs a request alone that is suspected of a crash.
    pub quarantining: bool,
}

impl EndpointFlags {
    /// Tells whether the endpoint may be sent work while better ones exist.
    #[must_use]
    pub fn is_open(self) -> bool {
        !self.leaving && !self.suspected && !self.quarantining
    }

    /// Tells whether the endpoint may be sent work when no open one is left.
    #[must_use]
    pub fn is_last_resort(self) -> bool {
        self.suspected && !self.leaving && !self.quarantining
    }
}
