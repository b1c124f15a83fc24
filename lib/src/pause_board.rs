//! The endpoints that want no calls, as the dispatcher publishes them for metrics.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;

use crate::PauseChange;
use crate::PauseStatus;

/// The endpoints that want no calls, for a time or because they leave, as the dispatcher publishes them
/// for metrics.
#[derive(Debug, Clone, Default)]
pub(crate) struct PauseBoard {
    statuses: Arc<ArcSwap<Vec<PauseStatus>>>,
    leaving: Arc<AtomicU64>,
    asked: Arc<AtomicU64>,
    invalid: Arc<AtomicU64>,
}

impl PauseBoard {
    /// Replaces the pauses that last and the number of endpoints that say that they leave.
    pub(crate) fn publish(&self, statuses: Vec<PauseStatus>, leaving: u64) {
        self.statuses.store(Arc::new(statuses));
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns the number of endpoints that say that they leave.
    pub(crate) fn leaving_count(&self) -> u64 {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns the pauses that were published last.
    pub(crate) fn statuses(&self) -> Arc<Vec<PauseStatus>> {
        self.statuses.load_full()
    }

    /// Counts what an answer said of a pause.
    pub(crate) fn count(&self, change: &PauseChange) {
        let counter = match change {
            PauseChange::Asked { .. } => &self.asked,
            PauseChange::Invalid { .. } => &self.invalid,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of pauses that endpoints have asked for.
    pub(crate) fn asked_count(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }

    /// Returns how often an endpoint began to name something that is no time.
    pub(crate) fn invalid_count(&self) -> u64 {
        self.invalid.load(Ordering::Relaxed)
    }
}
