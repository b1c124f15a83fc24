//! Change of an endpoint's prefix cache.

use bon::Builder;

use crate::BlockHash;
use crate::PrefixChain;

/// Change of an endpoint's prefix cache, as the endpoint reports it. Events may arrive late, and
/// some may be lost.
#[derive(Debug, Clone, Copy, Builder)]
pub struct CacheEvent<'a> {
    /// Sequence number, which rises with every event of the endpoint.
    pub sequence: u64,
    /// Latest time at which the endpoint can have created the event, by the receiver's clock.
    pub made_at_ms: u64,
    /// Prefix that the endpoint now caches.
    pub stored: Option<&'a PrefixChain>,
    /// Blocks that the endpoint has evicted.
    #[builder(default)]
    pub removed: &'a [BlockHash],
}
