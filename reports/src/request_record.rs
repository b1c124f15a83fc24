//! What became of one request of a run.

/// What became of one request.
#[derive(Debug, Clone, Default)]
pub struct RequestRecord {
    /// Time at which the caller sent it first.
    pub arrived_at_ms: u64,
    /// Time from then to the first token of the answer that became whole.
    pub first_token_ms: Option<u64>,
    /// Whether a whole answer arrived.
    pub is_whole: bool,
    /// Times that it was sent to an endpoint.
    pub sends: u32,
    /// Times that an entry refused it.
    pub refusals: u32,
    /// Length of the prompt, and its part that was cached in the last send.
    pub prompt_tokens: u64,
    /// Cached part of the prompt in the last send that got a first token.
    pub cached_tokens: u64,
}
