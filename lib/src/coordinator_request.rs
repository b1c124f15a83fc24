//! Requests from a map coordinator to the ranks.

use crate::MapRequest;

/// A request that the driver of a [`MapCoordinator`](crate::MapCoordinator) must send to a rank.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorRequest {
    /// Identifies the request; the driver passes it to
    /// [`MapCoordinator::on_reply`](crate::MapCoordinator::on_reply) with the reply.
    pub call_id: u64,
    /// The rank whose agent receives the request.
    pub rank: usize,
    /// The request itself.
    pub request: MapRequest,
}
