//! Settings of an entry's view of the fleet.

use bon::Builder;

/// Settings of an entry's view of the fleet.
#[derive(Debug, Clone, Builder)]
pub(crate) struct RoutingSettings {
    pub(crate) vm_name: String,
    pub(crate) availability_zone: String,
    pub(crate) heartbeat_interval_ms: u64,
    pub(crate) heartbeat_bytes_per_s: u64,
    pub(crate) suspect_after_ms: u64,
    pub(crate) readers_per_zone: usize,
    pub(crate) endpoints_per_service: usize,
    pub(crate) retry_percent: u32,
}
