//! Complete answer of an endpoint, stored to answer resends.

use bytes::Bytes;
use pomeloramp_proc_macros::value;

/// Complete answer of an endpoint to a call that may run at most once, stored to answer resends.
#[value]
pub struct StoredAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Box<str>,
    /// The complete body.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Returns the number of bytes that count against the registry's memory budget.
    #[must_use]
    pub fn len_bytes(&self) -> u64 {
        (self.body.len() + self.content_type.len()) as u64
    }
}
