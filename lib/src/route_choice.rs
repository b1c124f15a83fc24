//! Routing decision for one request.

use pomeloramp_proc_macros::key;

use crate::EndpointId;
use crate::RefusalCode;

/// Routing decision for one request. A request is sent or refused at once, never delayed.
#[key]
pub enum RouteChoice {
    /// The request is to be sent to this endpoint.
    Send(EndpointId),
    /// The request is refused and does not run.
    Refuse {
        /// Reason of the refusal.
        code: RefusalCode,
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
}
