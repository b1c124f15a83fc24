//! The query of a watch on the configuration service.

use serde::Deserialize;

/// The query of a watch on the configuration service.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default)]
pub(crate) struct ConfigWatch {
    /// Values that changed after this revision are wanted.
    pub(crate) after: u64,
    /// Longest wait for a change.
    pub(crate) wait_ms: u64,
}

impl Default for ConfigWatch {
    fn default() -> Self {
        Self {
            after: 0,
            wait_ms: 20_000,
        }
    }
}
