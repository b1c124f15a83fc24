//! Prefix of a prompt that an endpoint probably caches.

use pomeloramp_proc_macros::key;

use crate::EndpointId;

/// Prefix of a prompt that an endpoint probably caches.
#[key]
pub struct CachedPrefix {
    /// Endpoint that probably caches the prefix.
    pub endpoint: EndpointId,
    /// Length of the prefix in tokens, from the start of the prompt.
    pub tokens: u64,
}
