//! News of an endpoint's prefix cache.

use bon::Builder;

use crate::BlockHash;
use crate::PrefixChain;

/// News of an endpoint's prefix cache, which may arrive late, and after others were lost.
#[derive(Debug, Clone, Copy, Builder)]
pub struct CacheEvent<'a> {
    /// Rises with every event of the endpoint.
    pub sequence: u64,
    /// Time at which the event was made at the latest, by the receiver's clock.
    pub made_at_ms: u64,
    /// A prefix that the endpoint holds now.
    pub stored: Option<&'a PrefixChain>,
    /// Blocks that the endpoint has dropped.
    #[builder(default)]
    pub removed: &'a [BlockHash],
}
