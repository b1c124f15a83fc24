//! Properties of a request that the router considers.

use bon::Builder;

use crate::BlockHash;
use crate::CachedPrefix;
use crate::EndpointId;

/// Properties of a request that the router considers.
#[derive(Debug, Clone, Copy, Builder)]
pub struct RouteRequest<'a> {
    /// Length of the prompt in tokens; zero for calls of plain services.
    #[builder(default)]
    pub prompt_tokens: u64,
    /// Time until the whole answer must have arrived.
    pub time_left_ms: u64,
    /// Expected time from the first token to the end of the answer.
    #[builder(default)]
    pub expected_decode_ms: u64,
    /// Urgency from 0 to [`MAX_URGENCY`], the most urgent; larger values count as `MAX_URGENCY`.
    ///
    /// [`MAX_URGENCY`]: crate::MAX_URGENCY
    #[builder(default)]
    pub urgency: u32,
    /// Endpoints that probably cache a prefix of the prompt, longest prefix first.
    #[builder(default)]
    pub cached: &'a [CachedPrefix],
    /// Hashes of prefixes of the prompt. Each one has a home endpoint, the same for all entries.
    #[builder(default)]
    pub home_keys: &'a [BlockHash],
    /// Endpoints that earlier attempts of the same request used.
    #[builder(default)]
    pub exclude: &'a [EndpointId],
}

impl RouteRequest<'_> {
    /// Returns the number of prompt tokens that the endpoint probably has in its cache.
    pub(crate) fn cached_tokens(&self, endpoint: EndpointId) -> u64 {
        self.cached
            .iter()
            .find(|prefix| prefix.endpoint == endpoint)
            .map_or(0, |prefix| prefix.tokens.min(self.prompt_tokens))
    }
}
