//! The maps that the ranks used, step by step.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use pomeloramp_proc_macros::document;

use crate::rank_engine::Map;

const MAX_RECORDS: usize = 100_000;

/// The map that one rank used in one step.
#[document]
#[derive(Copy, Eq)]
pub(crate) struct UsedMap {
    pub(crate) map_id: u64,
    /// Digest over the replicas.
    pub(crate) digest: u64,
}

/// One step with the map of each rank that has begun it.
#[document]
pub(crate) struct StepRecord {
    pub(crate) group_incarnation: u64,
    pub(crate) step: u64,
    pub(crate) maps: Vec<Option<UsedMap>>,
}

/// Remembers the latest steps and counts those that were held.
#[derive(Debug, Default)]
pub(crate) struct StepLog {
    records: VecDeque<StepRecord>,
    /// Steps that were dropped from the front of the log.
    pub(crate) forgotten_steps: u64,
    pub(crate) held_steps: u64,
    last_held: Option<(u64, u64)>,
}

impl StepLog {
    /// Notes that a rank began a step.
    pub(crate) fn begun(&mut self, key: (u64, u64), rank: usize, rank_count: usize, map: &Map) {
        let (group_incarnation, step) = key;
        let is_new = self
            .records
            .back()
            .is_none_or(|record| (record.group_incarnation, record.step) != key);
        if is_new {
            self.records.push_back(StepRecord {
                group_incarnation,
                step,
                maps: vec![None; rank_count],
            });
        }
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
            self.forgotten_steps += 1;
        }
        if let Some(record) = self.records.back_mut() {
            record.maps[rank] = Some(UsedMap {
                map_id: map.map_id,
                digest: digest_of(map),
            });
        }
    }

    /// Notes that a step could have begun but for a missing decision; counts each step once.
    pub(crate) fn held(&mut self, key: (u64, u64)) {
        if self.last_held != Some(key) {
            self.last_held = Some(key);
            self.held_steps += 1;
        }
    }

    /// Returns the steps remembered.
    pub(crate) fn records(&self) -> &VecDeque<StepRecord> {
        &self.records
    }
}

fn digest_of(map: &Map) -> u64 {
    let mut hasher = DefaultHasher::new();
    map.replicas.hash(&mut hasher);
    hasher.finish()
}
