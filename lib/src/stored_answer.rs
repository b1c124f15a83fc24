//! Whole answer of an endpoint, kept for resends.

use bytes::Bytes;
use pomeloramp_proc_macros::value;

/// Whole answer of an endpoint to a call that may not be repeated.
#[value]
pub struct StoredAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Box<str>,
    /// The whole body.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Returns how many bytes the answer takes of the registry's budget.
    #[must_use]
    pub fn len_bytes(&self) -> u64 {
        (self.body.len() + self.content_type.len()) as u64
    }
}
