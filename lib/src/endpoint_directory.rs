//! The endpoints that the platform publishes, over outages of the platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::EndpointRecord;

/// Time after an outage in which endpoints that live publish themselves again.
const RETURN_GRACE_MS: u64 = 2_000;
/// Time between two words of an endpoint to the platform, unless the platform says otherwise.
const DEFAULT_HEARTBEAT_MS: u64 = 1_200;
/// Heartbeats that an outage takes at least for a record to lapse by it: a record lapses after three,
/// the last of which came up to one before the outage.
const MIN_OUTAGE_HEARTBEATS: u64 = 2;

/// The endpoints that the platform publishes.
///
/// The records of live endpoints lapse while the platform is away and come back soon after it. So
/// a record that is missing after an outage is kept for a while, unless its endpoint was leaving.
/// A silence that is too short for any record to lapse is no outage, whatever its cause.
#[derive(Debug)]
pub struct EndpointDirectory {
    entries: BTreeMap<String, Entry>,
    min_outage_ms: u64,
    /// Revision of the platform at which the directory holds.
    revision: u64,
    /// When the platform last answered.
    heard_ms: Option<u64>,
    outage_ended_ms: Option<u64>,
}

#[derive(Debug)]
struct Entry {
    record: Arc<EndpointRecord>,
    revision: u64,
    missing_until_ms: Option<u64>,
}

impl Default for EndpointDirectory {
    fn default() -> Self {
        Self::for_heartbeat(DEFAULT_HEARTBEAT_MS)
    }
}

impl EndpointDirectory {
    /// Makes an empty directory of endpoints that write to the platform every `heartbeat_ms`.
    #[must_use]
    pub fn for_heartbeat(heartbeat_ms: u64) -> Self {
        Self {
            entries: BTreeMap::new(),
            min_outage_ms: heartbeat_ms * MIN_OUTAGE_HEARTBEATS,
            revision: 0,
            heard_ms: None,
            outage_ended_ms: None,
        }
    }

    /// Notes that the directory holds at `revision` as well.
    pub fn confirm(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Notes that the platform has answered.
    pub fn observe_platform_answer(&mut self, now_ms: u64) {
        let heard_ms = self.heard_ms.replace(now_ms);
        let was_away = heard_ms.is_none_or(|heard_ms| heard_ms + self.min_outage_ms <= now_ms);
        if was_away && !self.entries.is_empty() {
            self.outage_ended_ms = Some(now_ms);
        }
    }

    /// Returns the revision of the platform at which the directory holds.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the time since the platform last answered; nothing when it never has.
    #[must_use]
    pub fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.heard_ms
            .map(|heard_ms| now_ms.saturating_sub(heard_ms))
    }

    /// Takes over all records as published at `revision`, each with the revision of its last
    /// change; they are ignored when another entry has told of a later revision meanwhile.
    pub fn replace(&mut self, records: Vec<(EndpointRecord, u64)>, revision: u64, now_ms: u64) {
        self.observe_platform_answer(now_ms);
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let mut before = std::mem::take(&mut self.entries);
        for (record, revision) in records {
            before.remove(&record.id);
            self.insert(record, revision);
        }
        for (id, mut entry) in before {
            entry.missing_until_ms = entry.missing_until_ms.or_else(|| self.grace_end(now_ms));
            if !entry.record.is_leaving && entry.is_kept(now_ms) {
                self.entries.insert(id, entry);
            }
        }
    }

    /// Takes over the list of another entry, which holds at `revision`; returns whether it did.
    ///
    /// A list that is behind what is known is ignored, so that no endpoint comes back that has left;
    /// an empty one as well, since an entry that has just started may have read it in an outage.
    pub fn replace_from_entry(&mut self, told: Vec<EndpointRecord>, revision: u64) -> bool {
        if told.is_empty() || revision < self.revision {
            return false;
        }
        let before = std::mem::take(&mut self.entries);
        for mut record in told {
            let known = before.get(&record.id).map(|entry| &entry.record);
            let known = known.filter(|known| known.born_ms == record.born_ms);
            record.is_leaving |= known.is_some_and(|known| known.is_leaving);
            self.insert(record, revision);
        }
        self.revision = revision;
        true
    }

    /// Takes over one published record; one older than what is known is ignored.
    pub fn change(&mut self, record: EndpointRecord, revision: u64) {
        let is_news = match self.entries.get(&record.id) {
            Some(known) => known.revision <= revision,
            None => self.revision < revision,
        };
        if is_news {
            self.insert(record, revision);
        }
    }

    /// Notes that a record was removed, or that it can't be read any more.
    pub fn remove(&mut self, id: &str, revision: u64, now_ms: u64) {
        let grace_end = self.grace_end(now_ms);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.revision > revision {
            return;
        }
        entry.missing_until_ms = entry.missing_until_ms.or(grace_end);
        if entry.record.is_leaving || !entry.is_kept(now_ms) {
            self.entries.remove(id);
        }
    }

    /// Forgets records that did not come back in time; returns whether there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let count = self.entries.len();
        self.entries
            .retain(|_, entry| entry.missing_until_ms.is_none() || entry.is_kept(now_ms));
        self.entries.len() != count
    }

    /// Returns when the next record is to be forgotten, unless it comes back.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let entries = self.entries.values();
        entries.filter_map(|entry| entry.missing_until_ms).min()
    }

    /// Returns all records; of those with one address only the last published one, since a
    /// process that took over an address answers for no other.
    #[must_use]
    pub fn list(&self) -> Vec<Arc<EndpointRecord>> {
        let mut newest: BTreeMap<&str, &Entry> = BTreeMap::new();
        for entry in self.entries.values() {
            let known = newest.entry(&entry.record.address).or_insert(entry);
            if (entry.record.born_ms, entry.revision) > (known.record.born_ms, known.revision) {
                *known = entry;
            }
        }
        let records = newest.into_values();
        records.map(|entry| Arc::clone(&entry.record)).collect()
    }

    /// Returns the ids of the records that are missing and kept for a while.
    #[must_use]
    pub fn missing(&self) -> BTreeSet<String> {
        let entries = self.entries.iter();
        let missing = entries.filter(|(_, entry)| entry.missing_until_ms.is_some());
        missing.map(|(id, _)| id.clone()).collect()
    }

    fn insert(&mut self, record: EndpointRecord, revision: u64) {
        let entry = Entry {
            record: Arc::new(record),
            revision,
            missing_until_ms: None,
        };
        self.entries.insert(entry.record.id.clone(), entry);
    }

    /// Returns until when a record that goes missing now is kept.
    fn grace_end(&self, now_ms: u64) -> Option<u64> {
        let ended_ms = self.outage_ended_ms?;
        let until_ms = ended_ms + RETURN_GRACE_MS;
        (now_ms < until_ms).then_some(until_ms)
    }
}

impl Entry {
    fn is_kept(&self, now_ms: u64) -> bool {
        self.missing_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }
}
