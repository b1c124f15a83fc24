//! Fingerprint of a request's content.

use pomeloramp_proc_macros::key;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

/// Identifies a request's content, independent of its sender and of the request's id.
#[key]
pub struct ContentFingerprint(pub u64);

/// Top-level fields of a JSON body that may differ between requests with the same content.
const VOLATILE_FIELDS: [&str; 4] = ["id", "metadata", "request_id", "user"];

impl ContentFingerprint {
    /// Computes the fingerprint of a body sent to one service.
    ///
    /// The digest is cryptographic, so that nobody can craft content with the fingerprint of
    /// another's. Whitespace, key order and volatile fields of a JSON object don't affect it.
    #[must_use]
    pub fn of(service: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((service.len() as u64).to_le_bytes());
        hasher.update(service.as_bytes());
        match normalised(body) {
            Some(normalised) => hasher.update(normalised.as_bytes()),
            None => hasher.update(body),
        }
        let digest = hasher.finalize();
        let mut prefix = [0; size_of::<u64>()];
        prefix.copy_from_slice(&digest[..size_of::<u64>()]);
        Self(u64::from_le_bytes(prefix))
    }
}

/// Returns a JSON object with sorted keys and without volatile fields.
fn normalised(body: &[u8]) -> Option<String> {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else {
        return None;
    };
    for field in VOLATILE_FIELDS {
        fields.remove(field);
    }
    Some(Value::Object(fields).to_string())
}
