//! Counts the requests in flight.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Counts the requests in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlightCounter {
    count: Arc<AtomicUsize>,
}

impl InFlightCounter {
    /// Counts one more request until the returned guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            count: Arc::clone(&self.count),
        }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
