//! Actions that an endpoint's queue requests of its owner.

use pomeloramp_proc_macros::value;

use crate::RequestNumber;
use crate::StartedRequest;

/// An action that an endpoint's queue requests of its owner.
#[value]
pub enum QueueAction {
    /// Send the request to the endpoint.
    Start(StartedRequest),
    /// Answer that the request was not run, because it would miss its deadline.
    Expired {
        /// Number of the request at this agent.
        number: RequestNumber,
        /// Time after which the request may be sent again.
        retry_after_ms: u64,
    },
}
