//! Voided calls, which were reported as not run and must not run later.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::CallKey;

/// Stores the latest voided timestamp of each call, in bounded memory.
///
/// When the table is full, the void with the oldest timestamp is merged into a floor, which voids
/// every call without a record up to that timestamp. This may refuse calls that were never voided,
/// but never lets a voided call run.
#[derive(Debug)]
pub(crate) struct VoidTable {
    max_voids: usize,
    floor_ms: Option<u64>,
    stamps_ms: HashMap<Arc<CallKey>, u64>,
    by_stamp: BTreeSet<(u64, Arc<CallKey>)>,
}

impl VoidTable {
    pub(crate) fn new(max_voids: usize) -> Self {
        Self {
            max_voids,
            floor_ms: None,
            stamps_ms: HashMap::new(),
            by_stamp: BTreeSet::new(),
        }
    }

    /// Returns whether a call without a record is voided for this placement timestamp.
    pub(crate) fn covers(&self, call: &CallKey, stamp_ms: u64) -> bool {
        let is_below_floor = self.floor_ms.is_some_and(|floor_ms| stamp_ms <= floor_ms);
        let has_void = self
            .stamps_ms
            .get(call)
            .is_some_and(|voided_ms| stamp_ms <= *voided_ms);
        is_below_floor || has_void
    }

    /// Voids a call for all placement timestamps up to `stamp_ms`.
    pub(crate) fn insert(&mut self, call: &CallKey, stamp_ms: u64) {
        if self.covers(call, stamp_ms) {
            return;
        }
        self.remove(call);
        let call = Arc::new(call.clone());
        self.by_stamp.insert((stamp_ms, Arc::clone(&call)));
        self.stamps_ms.insert(call, stamp_ms);
        if self.stamps_ms.len() > self.max_voids {
            self.merge_oldest_into_floor();
        }
    }

    /// Removes the void of a call that now has a record with a later timestamp.
    pub(crate) fn remove(&mut self, call: &CallKey) {
        if let Some((call, stamp_ms)) = self.stamps_ms.remove_entry(call) {
            self.by_stamp.remove(&(stamp_ms, call));
        }
    }

    /// Removes voids with timestamps before `oldest_stamp_ms`, which are no longer accepted.
    pub(crate) fn expire(&mut self, oldest_stamp_ms: u64) {
        while let Some((stamp_ms, _)) = self.by_stamp.first() {
            if *stamp_ms >= oldest_stamp_ms {
                break;
            }
            if let Some((_, call)) = self.by_stamp.pop_first() {
                self.stamps_ms.remove(&call);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.stamps_ms.len()
    }

    pub(crate) fn floor_ms(&self) -> Option<u64> {
        self.floor_ms
    }

    fn merge_oldest_into_floor(&mut self) {
        if let Some((stamp_ms, call)) = self.by_stamp.pop_first() {
            self.stamps_ms.remove(&call);
            self.floor_ms = self.floor_ms.max(Some(stamp_ms));
        }
    }
}
