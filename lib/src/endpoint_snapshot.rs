//! The list of endpoints as one entry tells it another.

use pomeloramp_proc_macros::document;

use crate::EndpointRecord;

/// The list of endpoints as one entry tells it another.
#[document]
pub struct EndpointSnapshot {
    /// Revision of the platform at which the list holds.
    pub revision: u64,
    /// Time since the platform last confirmed the list.
    pub age_ms: u64,
    /// The endpoints, those included that leave.
    pub endpoints: Vec<EndpointRecord>,
}
