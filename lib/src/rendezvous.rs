//! Rendezvous (highest random weight) hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a pair; pairs with the highest weights are chosen. Weights for different
/// purposes are independent.
pub(crate) fn weight(chooser: &str, candidate: &str, purpose: &str) -> u64 {
    let seed = xxh3_64_with_seed(purpose.as_bytes(), 0);
    let seed = xxh3_64_with_seed(chooser.as_bytes(), seed);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}
