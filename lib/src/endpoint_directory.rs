//! The endpoints that the platform publishes, kept through outages of the platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::DepartedEndpoint;
use crate::EndpointRecord;
use crate::PlatformRevision;
use crate::departed_endpoints::DepartedEndpoints;
use crate::departed_endpoints::RecordStatus;

/// Time after an outage within which live endpoints publish their records again.
const REPUBLISH_GRACE_MS: u64 = 2_000;
/// Time between two heartbeats of an endpoint to the platform, unless the platform sets another.
const DEFAULT_HEARTBEAT_MS: u64 = 1_200;
/// Length of the shortest outage that can make a record lapse, in heartbeat intervals: a record
/// lapses after three, and the last heartbeat came up to one interval before the outage.
const MIN_OUTAGE_HEARTBEATS: u64 = 2;
/// Number of missed heartbeats after which a record lapses.
const LAPSE_HEARTBEATS: u64 = 3;
/// Revision of a record's last change where it is unknown; the record may be that of the copy.
const UNKNOWN_REVISION: u64 = 0;

/// The endpoints that the platform publishes.
///
/// The records of live endpoints lapse while the platform is unavailable, and reappear soon after
/// it returns. A record that is missing after an outage is therefore kept for a grace period,
/// unless its endpoint was leaving. An interruption that is too short for any record to lapse is
/// not treated as an outage, whatever its cause.
///
/// A platform that was restored from a copy begins a new era. Its records replace those of the era
/// before, but an instance that has left does not return because the copy still lists it.
#[derive(Debug)]
pub struct EndpointDirectory {
    endpoints: BTreeMap<String, KnownEndpoint>,
    /// Services that the configuration in force names.
    named_services: BTreeSet<String>,
    min_outage_ms: u64,
    /// Time after the start of an era within which every live endpoint has written its record again
    /// and all other records of the copy have lapsed.
    settle_ms: u64,
    /// Position in the platform's history up to which the directory is current.
    position: PlatformRevision,
    /// Revision at which the current era was first read; later records were written in this era.
    era_first_revision: u64,
    /// Time at which the current era was first read.
    era_started_ms: u64,
    /// Records of the current era that may be copies of removed ones.
    held_back: BTreeMap<String, KnownEndpoint>,
    departed: DepartedEndpoints,
    /// Time of the last answer from the platform.
    last_answer_ms: Option<u64>,
    /// End of the last outage of the platform.
    outage_ended_ms: Option<u64>,
}

#[derive(Debug)]
struct KnownEndpoint {
    record: Arc<EndpointRecord>,
    /// Position as of which the record is known.
    position: PlatformRevision,
    /// Revision of the record's last change; zero if unknown.
    changed_revision: u64,
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
            named_services: BTreeSet::new(),
            min_outage_ms: heartbeat_ms * MIN_OUTAGE_HEARTBEATS,
            settle_ms: heartbeat_ms * LAPSE_HEARTBEATS + REPUBLISH_GRACE_MS,
            position: PlatformRevision::default(),
            era_first_revision: 0,
            era_started_ms: 0,
            held_back: BTreeMap::new(),
            departed: DepartedEndpoints::default(),
            last_answer_ms: None,
            outage_ended_ms: None,
        }
    }

    /// Sets the services that the configuration in force names.
    pub fn set_named_services(&mut self, services: BTreeSet<String>) {
        self.named_services = services;
    }

    /// Records that the directory is current up to `position`.
    pub fn confirm(&mut self, position: PlatformRevision) {
        if position.era == self.position.era {
            self.position = self.position.max(position);
        }
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

    /// Returns the position in the platform's history up to which the directory is current.
    #[must_use]
    pub fn position(&self) -> PlatformRevision {
        self.position
    }

    /// Returns whether the era began so recently that records of the copy may be outdated.
    #[must_use]
    pub fn is_settling(&self, now_ms: u64) -> bool {
        self.position.era > 0 && now_ms < self.era_started_ms + self.settle_ms
    }

    /// Returns the time since the platform last answered; `None` if it never has.
    #[must_use]
    pub fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_answer_ms
            .map(|last_answer_ms| now_ms.saturating_sub(last_answer_ms))
    }

    /// Replaces all records by those published at `position`, each with the revision of its last
    /// change. They are ignored if a later position is already known.
    pub fn replace(
        &mut self,
        records: Vec<(EndpointRecord, u64)>,
        position: PlatformRevision,
        now_ms: u64,
    ) {
        if position.era < self.position.era {
            return;
        }
        self.observe_platform_answer(now_ms);
        if position < self.position {
            return;
        }
        self.advance_to(position, now_ms);
        let mut before = std::mem::take(&mut self.endpoints);
        for (record, revision) in records {
            let known = before.remove(&record.id);
            let position = PlatformRevision {
                revision,
                ..position
            };
            self.apply(record, position, revision, known, now_ms);
        }
        for endpoint in before.into_values() {
            self.keep_missing(endpoint, now_ms);
        }
    }

    /// Replaces all records by those of another entry, current up to `position`; returns whether
    /// it did.
    ///
    /// A list older than this directory is ignored, so that no endpoint that has left reappears.
    /// An empty list is ignored as well, since an entry that has just started may have read it
    /// during an outage.
    pub fn replace_from_entry(
        &mut self,
        received: Vec<EndpointRecord>,
        position: PlatformRevision,
        now_ms: u64,
    ) -> bool {
        if received.is_empty() || position < self.position {
            return false;
        }
        self.advance_to(position, now_ms);
        let mut before = std::mem::take(&mut self.endpoints);
        for mut record in received {
            let known = before.remove(&record.id);
            let same_instance = known
                .as_ref()
                .filter(|known| known.record.born_ms == record.born_ms);
            record.is_leaving |= same_instance.is_some_and(|known| known.record.is_leaving);
            self.apply(record, position, UNKNOWN_REVISION, known, now_ms);
        }
        for endpoint in before.into_values() {
            self.record_departure(&endpoint, now_ms);
        }
        true
    }

    /// Inserts or updates one published record, changed at `position`; a record older than the known
    /// one is ignored.
    pub fn upsert(&mut self, record: EndpointRecord, position: PlatformRevision, now_ms: u64) {
        let is_newer = match self.endpoints.get(&record.id) {
            Some(known) => known.position <= position,
            None => self.position < position,
        };
        if is_newer && position.era == self.position.era {
            let known = self.endpoints.remove(&record.id);
            self.apply(record, position, position.revision, known, now_ms);
        }
    }

    /// Handles a record that was removed, or that can no longer be read.
    pub fn remove(&mut self, id: &str, position: PlatformRevision, now_ms: u64) {
        if position.era != self.position.era {
            return;
        }
        self.held_back.remove(id);
        let grace_end = self.grace_end(now_ms);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if endpoint.position > position {
            return;
        }
        endpoint.missing_until_ms = endpoint.missing_until_ms.or(grace_end);
        if (endpoint.record.is_leaving || !endpoint.is_in_grace_period(now_ms))
            && let Some(endpoint) = self.endpoints.remove(id)
        {
            self.record_departure(&endpoint, now_ms);
        }
    }

    /// Takes over what another entry knows of endpoints that left in earlier eras.
    pub fn merge_departed(&mut self, departed: Vec<DepartedEndpoint>, now_ms: u64) {
        let era = self.position.era;
        for departure in departed.into_iter().filter(|d| d.era < era) {
            self.departed.record(departure, now_ms);
        }
        for endpoint in std::mem::take(&mut self.endpoints).into_values() {
            if endpoint.missing_until_ms.is_some() {
                self.endpoints.insert(endpoint.record.id.clone(), endpoint);
                continue;
            }
            let record = EndpointRecord::clone(&endpoint.record);
            let revision = endpoint.changed_revision;
            self.apply(record, endpoint.position, revision, None, now_ms);
        }
    }

    /// Returns what is known of endpoints that have left.
    #[must_use]
    pub fn departed(&self) -> Vec<DepartedEndpoint> {
        self.departed.all()
    }

    /// Removes the records whose grace period has ended, and takes the platform's word for those
    /// that were held back when the era has settled; returns whether there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let is_over = |endpoint: &KnownEndpoint| {
            endpoint.missing_until_ms.is_some() && !endpoint.is_in_grace_period(now_ms)
        };
        let endpoints = std::mem::take(&mut self.endpoints);
        let (gone, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            endpoints.into_iter().partition(|(_, e)| is_over(e));
        self.endpoints = kept;
        for endpoint in gone.values() {
            self.record_departure(endpoint, now_ms);
        }
        let mut has_changed = !gone.is_empty();
        if !self.is_settling(now_ms) {
            for endpoint in std::mem::take(&mut self.held_back).into_values() {
                self.departed.forget(&endpoint.record.id);
                self.endpoints.insert(endpoint.record.id.clone(), endpoint);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Returns the time at which [`EndpointDirectory::expire`] next has an effect; `None` if it has
    /// none.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let endpoints = self.endpoints.values();
        let grace_ends = endpoints.filter_map(|endpoint| endpoint.missing_until_ms);
        let settled_ms = self.era_started_ms + self.settle_ms;
        let settled_ms = (!self.held_back.is_empty()).then_some(settled_ms);
        grace_ends.chain(settled_ms).min()
    }

    /// Returns all records. Of several with the same address it returns only the one of the
    /// endpoint that started last, since only the latest process at an address answers there. A record
    /// of a service that the configuration does not name hides none of a service that it names: no
    /// server need be behind it.
    #[must_use]
    pub fn list(&self) -> Vec<Arc<EndpointRecord>> {
        let mut by_address: BTreeMap<&str, &KnownEndpoint> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            let listed = by_address
                .entry(&endpoint.record.address)
                .or_insert(endpoint);
            if self.precedence(endpoint) > self.precedence(listed) {
                *listed = endpoint;
            }
        }
        let records = by_address.into_values();
        records
            .map(|endpoint| Arc::clone(&endpoint.record))
            .collect()
    }

    /// Returns the order of endpoints with the same address; the highest one is listed.
    fn precedence(&self, endpoint: &KnownEndpoint) -> (bool, u64, PlatformRevision) {
        let is_named = self.named_services.contains(&endpoint.record.service);
        (is_named, endpoint.record.born_ms, endpoint.position)
    }

    /// Returns the ids of the missing records that are kept for a grace period.
    #[must_use]
    pub fn missing(&self) -> BTreeSet<String> {
        let endpoints = self.endpoints.iter();
        let missing = endpoints.filter(|(_, endpoint)| endpoint.missing_until_ms.is_some());
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the ids of the listed endpoints that get no calls, since they had left before the
    /// platform was restored.
    #[must_use]
    pub fn held_back(&self) -> BTreeSet<String> {
        self.held_back.keys().cloned().collect()
    }

    /// Advances to a later position, which may begin a new era.
    fn advance_to(&mut self, position: PlatformRevision, now_ms: u64) {
        if position.era > self.position.era {
            self.era_first_revision = position.revision;
            self.era_started_ms = now_ms;
            if !self.endpoints.is_empty() {
                self.outage_ended_ms = Some(now_ms);
            }
        }
        self.held_back.clear();
        self.position = position;
    }

    /// Applies a record of the current era, with what is known of its endpoint, unless knowledge
    /// from earlier eras contradicts it.
    fn apply(
        &mut self,
        mut record: EndpointRecord,
        position: PlatformRevision,
        changed_revision: u64,
        known: Option<KnownEndpoint>,
        now_ms: u64,
    ) {
        if let Some(known) = known
            && known.record.born_ms != record.born_ms
        {
            if known.position.era < position.era && record.born_ms < known.record.born_ms {
                // The copy lists an earlier instance, as the record of this one was lost.
                self.keep_missing(known, now_ms);
                return;
            }
            self.record_replacement(&known, now_ms);
        }
        let status = self.status_of(&record, changed_revision, now_ms);
        record.is_leaving |= status == RecordStatus::Left;
        let id = record.id.clone();
        let endpoint = KnownEndpoint {
            record: Arc::new(record),
            position,
            changed_revision,
            missing_until_ms: None,
        };
        self.held_back.remove(&id);
        match status {
            RecordStatus::PossiblyRemoved => {
                self.held_back.insert(id, endpoint);
                return;
            }
            RecordStatus::Left => {}
            RecordStatus::Current if endpoint.record.is_leaving => {
                self.record_departure(&endpoint, now_ms);
            }
            RecordStatus::Current => self.departed.forget_instance(&endpoint.record),
        }
        self.endpoints.insert(id, endpoint);
    }

    /// Returns what is known of a record's instance from earlier eras.
    fn status_of(
        &mut self,
        record: &EndpointRecord,
        changed_revision: u64,
        now_ms: u64,
    ) -> RecordStatus {
        let changed_at = PlatformRevision {
            revision: changed_revision,
            ..self.position
        };
        let status = self.departed.status_of(record, changed_at, now_ms);
        let is_written_in_era = changed_revision > self.era_first_revision;
        if status == RecordStatus::PossiblyRemoved
            && (is_written_in_era || !self.is_settling(now_ms))
        {
            return RecordStatus::Current;
        }
        status
    }

    /// Keeps a missing endpoint for the grace period, if it has one.
    fn keep_missing(&mut self, mut endpoint: KnownEndpoint, now_ms: u64) {
        endpoint.missing_until_ms = endpoint.missing_until_ms.or_else(|| self.grace_end(now_ms));
        if !endpoint.record.is_leaving && endpoint.is_in_grace_period(now_ms) {
            self.endpoints.insert(endpoint.record.id.clone(), endpoint);
        } else {
            self.record_departure(&endpoint, now_ms);
        }
    }

    /// Records that an endpoint has left or is leaving.
    fn record_departure(&mut self, endpoint: &KnownEndpoint, now_ms: u64) {
        let departure = self.departure(endpoint, endpoint.record.is_leaving);
        self.departed.record(departure, now_ms);
    }

    /// Records that a later instance has taken the id of an endpoint.
    fn record_replacement(&mut self, endpoint: &KnownEndpoint, now_ms: u64) {
        let departure = self.departure(endpoint, true);
        self.departed.record(departure, now_ms);
    }

    fn departure(&self, endpoint: &KnownEndpoint, is_final: bool) -> DepartedEndpoint {
        DepartedEndpoint {
            id: endpoint.record.id.clone(),
            born_ms: endpoint.record.born_ms,
            era: self.position.era,
            record_revision: endpoint.changed_revision,
            is_final,
        }
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
