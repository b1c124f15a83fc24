//! Settings of an entry's view of the fleet.

use bon::Builder;

/// Settings of an entry's view of the fleet.
#[derive(Debug, Clone, Builder)]
pub(crate) struct RoutingSettings {
    /// VM name of this entry.
    pub(crate) vm_name: String,
    pub(crate) availability_zone: String,
    pub(crate) heartbeat_interval_ms: u64,
    /// Bound on the heartbeat traffic of this entry.
    pub(crate) heartbeat_bytes_per_s: u64,
    /// Time without contact after which an agent is suspected.
    pub(crate) suspect_after_ms: u64,
    /// Entries of each availability zone that read the configuration service.
    pub(crate) readers_per_zone: usize,
    /// Endpoints of each service that this entry monitors and sends to.
    pub(crate) endpoints_per_service: usize,
    /// Retry budget in percent of the requests.
    pub(crate) retry_percent: u32,
}
