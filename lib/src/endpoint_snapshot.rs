//! The list of endpoints as one entry sends it to another.

use pomeloramp_proc_macros::document;

use crate::EndpointRecord;
use crate::PlatformRevision;

/// The list of endpoints as one entry sends it to another.
#[document]
pub struct EndpointSnapshot {
    /// Position in the platform's history up to which the list is current.
    pub position: PlatformRevision,
    /// Time since the platform last confirmed the list.
    pub age_ms: u64,
    /// The endpoints, including those that are leaving.
    pub endpoints: Vec<EndpointRecord>,
}
