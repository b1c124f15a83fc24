//! The calls that an entry has not answered completely yet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::call_progress::CallIdentity;
use crate::call_progress::CallProgress;

/// The calls that an entry has not answered completely yet. Clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallsInFlight {
    calls: Arc<Mutex<NumberedCalls>>,
}

#[derive(Debug, Default)]
struct NumberedCalls {
    next_number: u64,
    calls: BTreeMap<u64, CallProgress>,
}

/// A call that is in flight until the value is dropped.
#[derive(Debug)]
pub(crate) struct CallInFlight {
    calls: CallsInFlight,
    number: u64,
    progress: CallProgress,
}

impl CallsInFlight {
    /// Adds a call until the returned value is dropped.
    pub(crate) fn enter(&self, identity: CallIdentity) -> CallInFlight {
        let progress = CallProgress::new(identity);
        let mut calls = self.lock();
        let number = calls.next_number;
        calls.next_number += 1;
        calls.calls.insert(number, progress.clone());
        CallInFlight {
            calls: self.clone(),
            number,
            progress,
        }
    }

    /// Returns the calls in flight, the latest first.
    pub(crate) fn latest_first(&self) -> Vec<CallProgress> {
        self.lock().calls.values().rev().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, NumberedCalls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallInFlight {
    /// Returns the progress of the call.
    pub(crate) fn progress(&self) -> &CallProgress {
        &self.progress
    }
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        self.calls.lock().calls.remove(&self.number);
    }
}
