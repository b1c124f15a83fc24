//! A request for an endpoint.

use bytes::Bytes;

/// A request for an endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteQuery {
    pub(crate) service: String,
    /// Prompt of a completion; empty for plain calls.
    pub(crate) prompt: Bytes,
    pub(crate) urgency: u32,
    pub(crate) time_left_ms: u64,
    /// Names of the VMs that an earlier attempt used.
    pub(crate) exclude: Vec<String>,
}
