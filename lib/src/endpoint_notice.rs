//! What the head of an endpoint's answer says about the calls that the endpoint takes.

use crate::NamedLimit;
use crate::RetryAfter;

/// What the head of an endpoint's answer says about the calls that the endpoint takes.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointNotice {
    /// Its limit on the calls of all entries together.
    pub limit: NamedLimit,
    /// For how long it wants no calls of this entry.
    pub retry_after: RetryAfter,
    /// Whether it leaves, so that no further calls are to be sent to it.
    pub is_leaving: bool,
}

impl EndpointNotice {
    /// The notice of an answer that says nothing.
    pub const NONE: Self = Self {
        limit: NamedLimit::None,
        retry_after: RetryAfter::None,
        is_leaving: false,
    };
}
