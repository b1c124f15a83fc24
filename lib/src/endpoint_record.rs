//! What the platform publishes of one endpoint.

use pomeloramp_proc_macros::document;

/// What the platform publishes of one endpoint that calls are sent to directly.
#[document]
#[derive(Eq)]
pub struct EndpointRecord {
    /// Identity of the endpoint, which its address may outlive.
    pub id: String,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Socket address.
    pub address: String,
    /// Availability zone of the endpoint.
    pub availability_zone: String,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// The endpoint takes no new work.
    pub is_leaving: bool,
    /// When the endpoint was started, in milliseconds of the Unix epoch; zero when not known.
    pub born_ms: u64,
}
