//! What the router needs to know of a request.

use bon::Builder;

use crate::BlockHash;
use crate::CachedPrefix;
use crate::EndpointId;

/// What the router needs to know of a request.
#[derive(Debug, Clone, Copy, Builder)]
pub struct RouteRequest<'a> {
    /// Length of the prompt; zero for calls of plain services.
    #[builder(default)]
    pub prompt_tokens: u64,
    /// Time until the whole answer must have arrived.
    pub time_left_ms: u64,
    /// Expected time from the first token to the end of the answer.
    #[builder(default)]
    pub expected_decode_ms: u64,
    /// 0 is the least urgent, [`MAX_URGENCY`] the most; larger values count as the most.
    ///
    /// [`MAX_URGENCY`]: crate::MAX_URGENCY
    #[builder(default)]
    pub urgency: u32,
    /// Endpoints that probably hold a prefix of the prompt, longest first.
    #[builder(default)]
    pub cached: &'a [CachedPrefix],
    /// Hashes of prefixes of the prompt; each one has a home, the same for all entries.
    #[builder(default)]
    pub home_keys: &'a [BlockHash],
    /// Endpoints that an earlier attempt of the same request already used.
    #[builder(default)]
    pub exclude: &'a [EndpointId],
}

impl RouteRequest<'_> {
    /// Returns how much of the prompt the endpoint probably need not compute again.
    pub(crate) fn cached_tokens(&self, endpoint: EndpointId) -> u64 {
        self.cached
            .iter()
            .find(|prefix| prefix.endpoint == endpoint)
            .map_or(0, |prefix| prefix.tokens.min(self.prompt_tokens))
    }
}
