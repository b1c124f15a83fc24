//! Counts of executions, for a test's oracle.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

/// Counts executions by a key of the caller's choice.
#[derive(Debug, Default)]
pub(crate) struct ExecutionCounts {
    executions: Mutex<Executions>,
}

#[derive(Debug, Default)]
struct Executions {
    by_key: BTreeMap<String, u64>,
    order: Vec<String>,
}

impl ExecutionCounts {
    /// Counts one execution and returns how many `key` has had.
    pub(crate) fn count(&self, key: &str) -> u64 {
        let mut executions = self.lock();
        let count = executions.by_key.entry(key.to_owned()).or_default();
        *count += 1;
        let count = *count;
        if count == 1 {
            executions.order.push(key.to_owned());
        }
        count
    }

    /// Returns all counts.
    pub(crate) fn all(&self) -> BTreeMap<String, u64> {
        self.lock().by_key.clone()
    }

    /// Returns every key once, by its first execution.
    pub(crate) fn order(&self) -> Vec<String> {
        self.lock().order.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Executions> {
        self.executions
            .lock()
            .expect("no holder of the lock panics")
    }
}
