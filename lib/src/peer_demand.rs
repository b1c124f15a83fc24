//! In-flight calls of the other entries for one service.

use std::collections::HashMap;

/// In-flight calls of the other entries for one service, as last reported by gossip.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerDemand {
    /// Number of their calls, running and queued.
    pub calls: u32,
    /// Their running calls, by short hash of the endpoint id.
    pub by_endpoint: HashMap<u32, u32>,
}
