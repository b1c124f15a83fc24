//! Key of an endpoint inside one process.

use pomeloramp_proc_macros::key;

/// Names one endpoint inside one process; given out by [`Router::add_endpoint`] and never reused.
///
/// [`Router::add_endpoint`]: crate::Router::add_endpoint
#[key]
pub struct EndpointId(pub u32);
