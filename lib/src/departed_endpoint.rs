//! What an entry remembers of an endpoint instance that has left.

use pomeloramp_proc_macros::document;

/// What an entry remembers of an endpoint instance that has left the service.
#[document]
#[derive(Eq)]
pub struct DepartedEndpoint {
    /// Identity of the endpoint.
    pub id: String,
    /// Start time of the instance, in milliseconds of the Unix epoch.
    pub born_ms: u64,
    /// Era of the platform in which the instance left.
    pub era: u64,
    /// Revision of the last record of the instance that was seen before it left.
    pub record_revision: u64,
    /// Whether the instance cannot return: it reported its leaving, or a later instance has taken
    /// its id. The record of any other instance was only removed, and may be written again.
    pub is_final: bool,
}
