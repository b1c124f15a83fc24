//! Calls of which it was said that they did not run.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::CallKey;

/// Remembers the latest voided stamp of each call, in bounded memory.
///
/// When the table is full, the void with the oldest stamp is merged into a floor, which voids
/// every call without a record up to its stamp. That may refuse calls that were never voided, but
/// never lets a voided one run.
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

    /// Returns whether a call without a record may not run under this stamp.
    pub(crate) fn covers(&self, call: &CallKey, stamp_ms: u64) -> bool {
        let by_floor = self.floor_ms.is_some_and(|floor_ms| stamp_ms <= floor_ms);
        let by_void = self
            .stamps_ms
            .get(call)
            .is_some_and(|void_ms| stamp_ms <= *void_ms);
        by_floor || by_void
    }

    /// Voids a call up to a stamp.
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

    /// Forgets the void of a call that now has a record with a later stamp.
    pub(crate) fn remove(&mut self, call: &CallKey) {
        if let Some((call, stamp_ms)) = self.stamps_ms.remove_entry(call) {
            self.by_stamp.remove(&(stamp_ms, call));
        }
    }

    /// Forgets voids with stamps before `oldest_stamp_ms`, which nobody accepts any more.
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
