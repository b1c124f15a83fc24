//! The list of endpoints as one entry sends it to another.

use pomeloramp_proc_macros::document;

use crate::EndpointRecord;

/// The list of endpoints as one entry sends it to another.
#[document]
pub struct EndpointSnapshot {
    /// Platform revision up to which the list is current.
    pub revision: u64,
    /// Time since the platform last confirmed the list.
    pub age_ms: u64,
    /// The endpoints, including those that are leaving.
    pub endpoints: Vec<EndpointRecord>,
}
