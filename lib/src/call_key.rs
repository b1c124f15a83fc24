//! Name of a call that may not be repeated.

use pomeloramp_proc_macros::value;

/// Names a call that may not be repeated; the same key of another organisation is another call.
#[value]
#[derive(PartialOrd, Ord, Hash)]
pub struct CallKey {
    /// Organisation whose credential sent the call.
    pub organisation: Box<str>,
    /// Idempotency key that the caller chose.
    pub key: Box<str>,
}

impl CallKey {
    /// Names a call by its organisation and idempotency key.
    #[must_use]
    pub fn new(organisation: &str, key: &str) -> Self {
        Self {
            organisation: organisation.into(),
            key: key.into(),
        }
    }
}
