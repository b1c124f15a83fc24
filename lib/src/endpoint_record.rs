//! The record that the platform publishes of one endpoint.

use pomeloramp_proc_macros::document;

/// The record that the platform publishes of one endpoint to which entries send calls directly.
#[document]
#[derive(Eq)]
pub struct EndpointRecord {
    /// Identity of the endpoint. A later endpoint with another id may reuse the address.
    pub id: String,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// IP address and port of the endpoint.
    pub address: String,
    /// Availability zone of the endpoint.
    pub availability_zone: String,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// The endpoint is leaving and takes no new work.
    pub is_leaving: bool,
    /// Time at which the endpoint started, in milliseconds of the Unix epoch; zero if unknown.
    pub born_ms: u64,
}
