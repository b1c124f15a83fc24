//! Result of offering a configuration value to the store.

use pomeloramp_proc_macros::key;

/// Result of offering a configuration value to the store.
#[key]
pub enum ConfigOfferResult {
    /// The value is in force now; an empty value removed the document.
    InForce,
    /// The value is invalid; the document in force stays in force.
    Refused,
    /// A value with the same or a later revision is already known.
    Stale,
    /// A different value with the same revision is already known; the service must never publish
    /// two values under one revision.
    Conflict,
    /// The store no longer has the value that the patch applies to.
    UnknownBase,
    /// The patched value does not have the digest sent by the peer; the whole value is requested
    /// next.
    DigestMismatch,
}
