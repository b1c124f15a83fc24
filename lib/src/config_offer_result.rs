//! What became of an offered configuration value.

use pomeloramp_proc_macros::key;

/// What became of an offered configuration value.
#[key]
pub enum ConfigOfferResult {
    /// The value is in force now; an empty value removed the document.
    InForce,
    /// The value is invalid; the document in force stays.
    Refused,
    /// A value with the same or a later revision was seen before.
    Stale,
    /// Another value with the same revision was seen before, which the service must never serve.
    Conflict,
    /// The value that the patch starts from is not held any more.
    UnknownBase,
    /// The patch did not result in the bytes that the peer holds; the whole value is asked for.
    DigestMismatch,
}
