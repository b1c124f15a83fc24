//! Identity of an endpoint within one process.

use pomeloramp_proc_macros::key;

/// Identifies one endpoint within one process; assigned by [`Router::add_endpoint`] and never
/// reused.
///
/// [`Router::add_endpoint`]: crate::Router::add_endpoint
#[key]
pub struct EndpointId(pub u32);
