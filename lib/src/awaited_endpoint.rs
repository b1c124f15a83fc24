//! The endpoint that a call waits for.

use tokio::time::Instant;

use crate::EndpointRecord;
use crate::EndpointRun;

/// The endpoint that a call waits for.
#[derive(Debug, Clone)]
pub(crate) struct AwaitedEndpoint {
    pub(crate) run: EndpointRun,
    /// When the call was sent, or the endpoint's last event came.
    pub(crate) heard: Instant,
}

impl AwaitedEndpoint {
    /// Returns the endpoint of a call that is sent now.
    pub(crate) fn sent_to(endpoint: &EndpointRecord) -> Self {
        Self {
            run: EndpointRun::of(endpoint),
            heard: Instant::now(),
        }
    }
}
