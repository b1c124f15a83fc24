//! What became of a request that was offered to a queue.

use pomeloramp_proc_macros::value;

use crate::RefusalCode;
use crate::RequestNumber;
use crate::StartedRequest;

/// What became of a request that was offered to a queue.
#[value]
pub enum Admission {
    /// The request has a slot; send it to the endpoint now.
    Start(StartedRequest),
    /// The request waits.
    Queued {
        /// A request of the organisation with the longest queue that lost its place; it was not
        /// run and must be answered so, with `retry_after_ms` as the time to come back.
        displaced: Option<RequestNumber>,
        /// Time after which the displaced request may be sent again.
        retry_after_ms: u64,
    },
    /// The request is refused and was not run.
    Refused {
        /// Why it was refused.
        code: RefusalCode,
        /// Time after which the request may be sent again; zero invites a retry elsewhere at once.
        retry_after_ms: u64,
    },
}
