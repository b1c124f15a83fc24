//! Events of the prefix cache.

use serde::Deserialize;
use serde::Serialize;

/// A change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub(crate) enum CacheChange {
    /// A block came into the cache.
    Stored { block: u64 },
    /// A block made room for another.
    Evicted { block: u64 },
}

/// A change of the prefix cache, with its place in the order of all changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CacheEvent {
    /// Rises by one for each change; a reader sees a lost event as a jump.
    pub(crate) sequence: u64,
    #[serde(flatten)]
    pub(crate) change: CacheChange,
}
