//! A change of one endpoint that the platform published.

use pomeloramp_proc_macros::value;

use crate::EndpointRecord;

/// A change of one endpoint that the platform published.
#[value]
pub struct EndpointChange {
    /// Identity of the endpoint.
    pub id: String,
    /// The new record; `None` if it was removed or can no longer be read.
    pub record: Option<EndpointRecord>,
    /// Revision of the change in the platform's current era.
    pub revision: u64,
}
