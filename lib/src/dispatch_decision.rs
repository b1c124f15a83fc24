//! The dispatcher's decision on a call.

use std::sync::Arc;

use pomeloramp_proc_macros::value;

use crate::EndpointRecord;
use crate::ObstacleCounts;
use crate::RefusalCode;

/// The dispatcher's decision on a [`DispatchQuery`](crate::DispatchQuery).
#[value]
pub enum DispatchDecision {
    /// The call holds a slot at this endpoint until its end is reported.
    Send(Arc<EndpointRecord>),
    /// The call can't be served in time.
    Refuse {
        /// The reason.
        code: RefusalCode,
        /// Time after which a slot is probably free.
        retry_after_ms: u64,
        /// Why the endpoints of the service take no call.
        obstacles: ObstacleCounts,
    },
}
