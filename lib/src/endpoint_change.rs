//! One published change of an endpoint.

use pomeloramp_proc_macros::value;

use crate::EndpointRecord;

/// One published change of an endpoint.
#[value]
pub struct EndpointChange {
    /// Identity of the endpoint.
    pub id: String,
    /// Its record; absent when it was removed or can't be read any more.
    pub record: Option<EndpointRecord>,
    /// Revision of the change.
    pub revision: u64,
}
