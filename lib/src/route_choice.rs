//! Decision on where a request goes.

use pomeloramp_proc_macros::key;

use crate::EndpointId;
use crate::RefusalCode;

/// Decision on where a request goes. A request is never held back: it is sent or refused at once.
#[key]
pub enum RouteChoice {
    /// The request goes to this endpoint.
    Send(EndpointId),
    /// The request is not run.
    Refuse {
        /// Reason of the refusal.
        code: RefusalCode,
        /// Time after which another try has a chance.
        retry_after_ms: u64,
    },
}
