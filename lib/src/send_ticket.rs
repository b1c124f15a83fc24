//! A handle for one request that was sent to an endpoint.

use pomeloramp_proc_macros::key;

use crate::EndpointId;

/// A handle for one request that was sent to an endpoint; returned by [`Router::mark_sent`].
///
/// [`Router::mark_sent`]: crate::Router::mark_sent
#[key]
pub struct SendTicket {
    /// Endpoint that the request was sent to.
    pub endpoint: EndpointId,
    /// Number of the send, unique in its router.
    pub number: u64,
}
