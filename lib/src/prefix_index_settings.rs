//! Settings of the prefix index.

use bon::Builder;

/// Settings of the prefix index.
#[derive(Debug, Clone, Builder)]
pub struct PrefixIndexSettings {
    /// Tokens that one block of a prompt stands for.
    #[builder(default = 256)]
    pub block_tokens: u64,
    /// Cache of an endpoint that has told no size of its own.
    #[builder(default = 2_000)]
    pub default_cache_blocks: usize,
    /// Blocks remembered over all endpoints.
    #[builder(default = 200_000)]
    pub max_total_blocks: usize,
}
