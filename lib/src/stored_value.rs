//! A configuration value with its revision and hash.

use pomeloramp_proc_macros::value;
use sha2::Digest;
use sha2::Sha256;

/// A configuration value with its revision and the hash of its bytes.
#[value]
pub(crate) struct StoredValue {
    pub(crate) revision: u64,
    pub(crate) value: Vec<u8>,
    pub(crate) sha256: [u8; 32],
}

impl StoredValue {
    /// Creates the value and computes its hash.
    pub(crate) fn new(revision: u64, value: &[u8]) -> Self {
        Self {
            revision,
            value: value.to_vec(),
            sha256: Sha256::digest(value).into(),
        }
    }
}
