//! A request from a coordinator to one rank.

use crate::MapRequest;

/// A request that the driver of a [`MapCoordinator`](crate::MapCoordinator) has to send.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorRequest {
    /// Pairs the reply with the request.
    pub call_id: u64,
    /// The rank whose agent is addressed.
    pub rank: usize,
    /// The request.
    pub request: MapRequest,
}
