//! The limits of endpoints, as the dispatcher publishes them for metrics.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;

use crate::LimitStatus;

/// The limits of endpoints, as the dispatcher publishes them for metrics.
#[derive(Debug, Clone, Default)]
pub(crate) struct LimitBoard {
    statuses: Arc<ArcSwap<Vec<LimitStatus>>>,
    invalid: Arc<AtomicU64>,
}

impl LimitBoard {
    /// Replaces the limits.
    pub(crate) fn publish(&self, statuses: Vec<LimitStatus>) {
        self.statuses.store(Arc::new(statuses));
    }

    /// Returns the limits that were published last.
    pub(crate) fn statuses(&self) -> Arc<Vec<LimitStatus>> {
        self.statuses.load_full()
    }

    /// Counts an answer with an invalid limit.
    pub(crate) fn count_invalid(&self) {
        self.invalid.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of answers with an invalid limit.
    pub(crate) fn invalid_count(&self) -> u64 {
        self.invalid.load(Ordering::Relaxed)
    }
}
