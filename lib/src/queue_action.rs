//! What the queue of an endpoint wants done.

use pomeloramp_proc_macros::value;

use crate::RequestNumber;
use crate::StartedRequest;

/// One action that the queue of an endpoint asks for.
#[value]
pub enum QueueAction {
    /// Send the request to the endpoint.
    Start(StartedRequest),
    /// Answer that the request was not run, since it would miss its deadline.
    Expired {
        /// Name of the request at this agent.
        number: RequestNumber,
        /// Time after which the request may be sent again.
        retry_after_ms: u64,
    },
}
