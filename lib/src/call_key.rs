//! Key of a call that may run at most once.

use pomeloramp_proc_macros::value;

/// Identifies a call that may run at most once. Equal idempotency keys of two organisations
/// identify two calls.
#[value]
#[derive(PartialOrd, Ord, Hash)]
pub struct CallKey {
    /// Organisation whose credential authorised the call.
    pub organisation: Box<str>,
    /// Idempotency key, chosen by the caller.
    pub key: Box<str>,
}

impl CallKey {
    /// Creates the key from an organisation and an idempotency key.
    #[must_use]
    pub fn new(organisation: &str, key: &str) -> Self {
        Self {
            organisation: organisation.into(),
            key: key.into(),
        }
    }
}
