//! The endpoints that the platform publishes, kept through outages of the platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::EndpointRecord;

/// Time after an outage within which live endpoints publish their records again.
const REPUBLISH_GRACE_MS: u64 = 2_000;
/// Time between two heartbeats of an endpoint to the platform, unless the platform sets another.
const DEFAULT_HEARTBEAT_MS: u64 = 1_200;
/// Length of the shortest outage that can make a record lapse, in heartbeat intervals: a record
/// lapses after three, and the last heartbeat came up to one interval before the outage.
const MIN_OUTAGE_HEARTBEATS: u64 = 2;

/// The endpoints that the platform publishes.
///
/// The records of live endpoints lapse while the platform is unavailable, and reappear soon after
/// it returns. A record that is missing after an outage is therefore kept for a grace period,
/// unless its endpoint was leaving. An interruption that is too short for any record to lapse is
/// not treated as an outage, whatever its cause.
#[derive(Debug)]
pub struct EndpointDirectory {
    endpoints: BTreeMap<String, KnownEndpoint>,
    min_outage_ms: u64,
    /// Platform revision up to which the directory is current.
    revision: u64,
    /// Time of the last answer from the platform.
    last_answer_ms: Option<u64>,
    /// End of the last outage of the platform.
    outage_ended_ms: Option<u64>,
}

#[derive(Debug)]
struct KnownEndpoint {
    record: Arc<EndpointRecord>,
    revision: u64,
    /// End of the grace period; `None` unless the record is missing.
    missing_until_ms: Option<u64>,
}

impl Default for EndpointDirectory {
    fn default() -> Self {
        Self::for_heartbeat(DEFAULT_HEARTBEAT_MS)
    }
}

impl EndpointDirectory {
    /// Creates an empty directory for endpoints that renew their records every `heartbeat_ms`.
    #[must_use]
    pub fn for_heartbeat(heartbeat_ms: u64) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            min_outage_ms: heartbeat_ms * MIN_OUTAGE_HEARTBEATS,
            revision: 0,
            last_answer_ms: None,
            outage_ended_ms: None,
        }
    }

    /// Records that the directory is current up to `revision`.
    pub fn confirm(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Records an answer from the platform, which ends an outage if the one before is long ago.
    pub fn observe_platform_answer(&mut self, now_ms: u64) {
        let last_answer_ms = self.last_answer_ms.replace(now_ms);
        let was_outage = last_answer_ms
            .is_none_or(|last_answer_ms| last_answer_ms + self.min_outage_ms <= now_ms);
        if was_outage && !self.endpoints.is_empty() {
            self.outage_ended_ms = Some(now_ms);
        }
    }

    /// Returns the platform revision up to which the directory is current.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the time since the platform last answered; `None` if it never has.
    #[must_use]
    pub fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_answer_ms
            .map(|last_answer_ms| now_ms.saturating_sub(last_answer_ms))
    }

    /// Replaces all records by those published at `revision`, each with the revision of its last
    /// change. They are ignored if another entry has supplied a later revision in the meantime.
    pub fn replace(&mut self, records: Vec<(EndpointRecord, u64)>, revision: u64, now_ms: u64) {
        self.observe_platform_answer(now_ms);
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let mut before = std::mem::take(&mut self.endpoints);
        for (record, revision) in records {
            before.remove(&record.id);
            self.insert(record, revision);
        }
        for (id, mut endpoint) in before {
            endpoint.missing_until_ms =
                endpoint.missing_until_ms.or_else(|| self.grace_end(now_ms));
            if !endpoint.record.is_leaving && endpoint.is_in_grace_period(now_ms) {
                self.endpoints.insert(id, endpoint);
            }
        }
    }

    /// Replaces all records by those of another entry, current up to `revision`; returns whether
    /// it did.
    ///
    /// A list older than this directory is ignored, so that no endpoint that has left reappears.
    /// An empty list is ignored as well, since an entry that has just started may have read it
    /// during an outage.
    pub fn replace_from_entry(&mut self, received: Vec<EndpointRecord>, revision: u64) -> bool {
        if received.is_empty() || revision < self.revision {
            return false;
        }
        let before = std::mem::take(&mut self.endpoints);
        for mut record in received {
            let known = before.get(&record.id).map(|endpoint| &endpoint.record);
            let known = known.filter(|known| known.born_ms == record.born_ms);
            record.is_leaving |= known.is_some_and(|known| known.is_leaving);
            self.insert(record, revision);
        }
        self.revision = revision;
        true
    }

    /// Inserts or updates one published record; a record older than the known one is ignored.
    pub fn upsert(&mut self, record: EndpointRecord, revision: u64) {
        let is_newer = match self.endpoints.get(&record.id) {
            Some(known) => known.revision <= revision,
            None => self.revision < revision,
        };
        if is_newer {
            self.insert(record, revision);
        }
    }

    /// Handles a record that was removed, or that can no longer be read.
    pub fn remove(&mut self, id: &str, revision: u64, now_ms: u64) {
        let grace_end = self.grace_end(now_ms);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if endpoint.revision > revision {
            return;
        }
        endpoint.missing_until_ms = endpoint.missing_until_ms.or(grace_end);
        if endpoint.record.is_leaving || !endpoint.is_in_grace_period(now_ms) {
            self.endpoints.remove(id);
        }
    }

    /// Removes the records whose grace period has ended; returns whether there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let count = self.endpoints.len();
        self.endpoints.retain(|_, endpoint| {
            endpoint.missing_until_ms.is_none() || endpoint.is_in_grace_period(now_ms)
        });
        self.endpoints.len() != count
    }

    /// Returns the time at which the next grace period ends; `None` if no record is missing.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let endpoints = self.endpoints.values();
        endpoints
            .filter_map(|endpoint| endpoint.missing_until_ms)
            .min()
    }

    /// Returns all records. Of several with the same address it returns only the one of the
    /// endpoint that started last, since only the latest process at an address answers there.
    #[must_use]
    pub fn list(&self) -> Vec<Arc<EndpointRecord>> {
        let mut newest: BTreeMap<&str, &KnownEndpoint> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            let known = newest.entry(&endpoint.record.address).or_insert(endpoint);
            if (endpoint.record.born_ms, endpoint.revision) > (known.record.born_ms, known.revision)
            {
                *known = endpoint;
            }
        }
        let records = newest.into_values();
        records
            .map(|endpoint| Arc::clone(&endpoint.record))
            .collect()
    }

    /// Returns the ids of the missing records that are kept for a grace period.
    #[must_use]
    pub fn missing(&self) -> BTreeSet<String> {
        let endpoints = self.endpoints.iter();
        let missing = endpoints.filter(|(_, endpoint)| endpoint.missing_until_ms.is_some());
        missing.map(|(id, _)| id.clone()).collect()
    }

    fn insert(&mut self, record: EndpointRecord, revision: u64) {
        let endpoint = KnownEndpoint {
            record: Arc::new(record),
            revision,
            missing_until_ms: None,
        };
        self.endpoints.insert(endpoint.record.id.clone(), endpoint);
    }

    /// Returns the end of the grace period of a record that goes missing now, if it has one.
    fn grace_end(&self, now_ms: u64) -> Option<u64> {
        let ended_ms = self.outage_ended_ms?;
        let until_ms = ended_ms + REPUBLISH_GRACE_MS;
        (now_ms < until_ms).then_some(until_ms)
    }
}

impl KnownEndpoint {
    fn is_in_grace_period(&self, now_ms: u64) -> bool {
        self.missing_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }
}
