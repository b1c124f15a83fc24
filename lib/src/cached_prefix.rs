//! Part of a prompt that an endpoint probably has in its cache.

use pomeloramp_proc_macros::key;

use crate::EndpointId;

/// Part of a prompt that an endpoint probably has in its cache.
#[key]
pub struct CachedPrefix {
    /// Endpoint that holds the prefix.
    pub endpoint: EndpointId,
    /// Length of the prefix, counted from the start of the prompt.
    pub tokens: u64,
}
