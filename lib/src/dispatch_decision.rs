//! Where a call goes.

use std::sync::Arc;

use pomeloramp_proc_macros::value;

use crate::EndpointRecord;
use crate::RefusalCode;

/// The answer to a [`DispatchQuery`](crate::DispatchQuery).
#[value]
pub enum DispatchDecision {
    /// The call has a place at this endpoint until it is told to have ended.
    Send(Arc<EndpointRecord>),
    /// The call can't be served in time.
    Refuse {
        /// The cause.
        code: RefusalCode,
        /// When there is probably room.
        retry_after_ms: u64,
    },
}
