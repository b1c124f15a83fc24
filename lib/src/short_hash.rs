//! Short hashes that identify services and endpoints in datagrams.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash that identifies a service or an endpoint in a datagram.
#[must_use]
pub fn short_hash(name: &str) -> u32 {
    let hash = xxh3_64(name.as_bytes());
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or(u32::MAX)
}
