//! Counts of executions, for a test's oracle.

use std::collections::BTreeMap;
use std::sync::Mutex;

/// Counts executions by a key of the caller's choice.
#[derive(Debug, Default)]
pub(crate) struct ExecutionCounts {
    counts: Mutex<BTreeMap<String, u64>>,
}

impl ExecutionCounts {
    /// Counts one execution and returns how many `key` has had.
    pub(crate) fn count(&self, key: &str) -> u64 {
        let mut counts = self.counts.lock().expect("no holder of the lock panics");
        let count = counts.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// Returns all counts.
    pub(crate) fn all(&self) -> BTreeMap<String, u64> {
        self.counts
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }
}
