//! Result of offering a request to the queue of an endpoint.

use pomeloramp_proc_macros::value;

use crate::RefusalCode;
use crate::RequestNumber;
use crate::StartedRequest;

/// Result of offering a request to a [`FairQueue`](crate::FairQueue).
#[value]
pub enum Admission {
    /// The request was given a slot and must be sent to the endpoint now.
    Start(StartedRequest),
    /// The request was queued.
    Queued {
        /// Request of the organisation with the longest queue that was removed to make room. It
        /// did not run; its caller must be answered so, with `retry_after_ms`.
        displaced: Option<RequestNumber>,
        /// Time after which the caller may send the displaced request again.
        retry_after_ms: u64,
    },
    /// The request was refused and did not run.
    Refused {
        /// Reason of the refusal.
        code: RefusalCode,
        /// Time after which the caller may send the request again; zero allows an immediate retry
        /// at another endpoint.
        retry_after_ms: u64,
    },
}
