//! The text that a stand-in engine generates.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

const WORDS: [&str; 16] = [
    "wire", "coil", "spring", "steel", "pitch", "load", "rate", "turn", "pass", "fare", "lift",
    "ridge", "snow", "slope", "summit", "valley",
];

/// Returns the token at `index` of the answer to `prompt`.
///
/// Every engine gives the same tokens, so that any engine can resume a stream.
pub(crate) fn token_text(prompt: &str, index: u64) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    index.hash(&mut hasher);
    let digest = hasher.finish();
    let word = usize::try_from(digest % 16).map_or(WORDS[0], |position| WORDS[position]);
    format!("{word}{:02x} ", (digest >> 8) & 0xff)
}

/// Estimates the tokens in that many bytes of a prompt.
pub(crate) fn prompt_tokens(bytes: usize) -> u64 {
    const BYTES_PER_TOKEN: usize = 4;
    u64::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}
