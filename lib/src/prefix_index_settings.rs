//! Settings of the prefix index.

use bon::Builder;

/// Settings of a [`PrefixIndex`](crate::PrefixIndex).
#[derive(Debug, Clone, Builder)]
pub struct PrefixIndexSettings {
    /// Number of tokens in one block of a prompt.
    #[builder(default = 256)]
    pub block_tokens: u64,
    /// Cache size of an endpoint for which none is given, in blocks.
    #[builder(default = 2_000)]
    pub default_cache_blocks: usize,
    /// Maximum number of blocks over all endpoints.
    #[builder(default = 200_000)]
    pub max_total_blocks: usize,
}
