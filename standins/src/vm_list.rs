//! The VM list, which lags behind what was put into it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use pomeloramp_proc_macros::document;

use crate::vm_record::VmRecord;

/// The VM list as it is read and put.
#[document]
#[derive(Default)]
pub(crate) struct VmListDocument {
    pub(crate) vms: Vec<VmRecord>,
}

/// The VM list, which shows a change only after its lag.
#[derive(Debug)]
pub(crate) struct VmList {
    shown: VmListDocument,
    pending: VecDeque<PendingList>,
    pub(crate) lag: Duration,
}

#[derive(Debug)]
struct PendingList {
    visible_at: Instant,
    list: VmListDocument,
}

impl VmList {
    /// Creates an empty list whose changes show after `lag`.
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            shown: VmListDocument::default(),
            pending: VecDeque::new(),
            lag,
        }
    }

    /// Replaces the list; readers see it after the lag.
    pub(crate) fn put(&mut self, list: VmListDocument, now: Instant) {
        let visible_at = now + self.lag;
        self.pending.push_back(PendingList { visible_at, list });
    }

    /// Returns the list that readers see.
    pub(crate) fn read(&mut self, now: Instant) -> &VmListDocument {
        while self
            .pending
            .front()
            .is_some_and(|next| next.visible_at <= now)
        {
            if let Some(next) = self.pending.pop_front() {
                self.shown = next.list;
            }
        }
        &self.shown
    }
}
