//! Request to the router for an endpoint.

use bytes::Bytes;

/// Request to the router of a service for an endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteQuery {
    pub(crate) service: String,
    /// Prompt of a completion; empty for plain calls.
    pub(crate) prompt: Bytes,
    /// Urgency from 0 to [`MAX_URGENCY`](crate::MAX_URGENCY), the most urgent.
    pub(crate) urgency: u32,
    /// Time until the whole answer must have arrived.
    pub(crate) time_left_ms: u64,
    /// Names of the VMs that earlier attempts used, which are not chosen again.
    pub(crate) exclude: Vec<String>,
}
