//! Memory of the endpoint instances that have left, for the time after the platform was restored
//! from a copy that still lists them.

use std::collections::BTreeMap;

use crate::DepartedEndpoint;
use crate::EndpointRecord;
use crate::PlatformRevision;

/// Time for which a departure is remembered after it was last of use.
const MEMORY_MS: u64 = 300_000;
/// Maximum number of remembered departures; the oldest is forgotten first.
const MAX_DEPARTURES: usize = 4_096;

/// What a record of a restored platform says about its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordStatus {
    /// The record is current as far as is known.
    Current,
    /// The instance has left for good, whatever the record says.
    Left,
    /// The record of the instance was removed in an earlier era, and this one may be the copy of it
    /// from before.
    PossiblyRemoved,
}

/// Memory of the endpoint instances that have left.
///
/// A departure only matters for records of a later era: within an era, the platform's revisions
/// order the record and the departure.
#[derive(Debug, Default)]
pub(crate) struct DepartedEndpoints {
    /// The latest departure of each endpoint id, and when it was last of use.
    departures: BTreeMap<String, (DepartedEndpoint, u64)>,
}

impl DepartedEndpoints {
    /// Records a departure. A later instance replaces an earlier one, and a final departure the
    /// removal of the same instance. A final departure keeps its era, so that it holds in every
    /// later one.
    pub(crate) fn record(&mut self, departure: DepartedEndpoint, now_ms: u64) {
        if let Some((known, used_ms)) = self.departures.get_mut(&departure.id) {
            let is_same_instance = known.born_ms == departure.born_ms;
            if known.born_ms > departure.born_ms || (is_same_instance && known.is_final) {
                *used_ms = now_ms;
                return;
            }
        }
        self.departures
            .insert(departure.id.clone(), (departure, now_ms));
        self.forget_oldest(now_ms);
    }

    /// Returns what is known about an instance from eras before `at`, the position of its record.
    pub(crate) fn status_of(
        &mut self,
        record: &EndpointRecord,
        at: PlatformRevision,
        now_ms: u64,
    ) -> RecordStatus {
        let Some((departure, used_ms)) = self.departures.get_mut(&record.id) else {
            return RecordStatus::Current;
        };
        if departure.era >= at.era || departure.born_ms < record.born_ms {
            return RecordStatus::Current;
        }
        *used_ms = now_ms;
        let is_earlier_instance = record.born_ms < departure.born_ms;
        // Without a start time, a restarted endpoint looks like the instance that has left.
        let has_born_time = record.born_ms > 0;
        if has_born_time && (departure.is_final || is_earlier_instance) {
            RecordStatus::Left
        } else if departure.is_final || at.revision <= departure.record_revision {
            RecordStatus::PossiblyRemoved
        } else {
            RecordStatus::Current
        }
    }

    /// Forgets that an instance left, since its record was written again.
    pub(crate) fn forget_instance(&mut self, record: &EndpointRecord) {
        let departure = self.departures.get(&record.id);
        if departure.is_some_and(|(departure, _)| departure.born_ms == record.born_ms) {
            self.departures.remove(&record.id);
        }
    }

    /// Forgets the departure of an endpoint.
    pub(crate) fn forget(&mut self, id: &str) {
        self.departures.remove(id);
    }

    /// Returns all departures.
    pub(crate) fn all(&self) -> Vec<DepartedEndpoint> {
        let departures = self.departures.values();
        departures.map(|(departure, _)| departure.clone()).collect()
    }

    fn forget_oldest(&mut self, now_ms: u64) {
        self.departures
            .retain(|_, (_, used_ms)| now_ms.saturating_sub(*used_ms) < MEMORY_MS);
        if self.departures.len() <= MAX_DEPARTURES {
            return;
        }
        let departures = self.departures.iter();
        let oldest = departures.min_by_key(|(_, (_, used_ms))| *used_ms);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.departures.remove(&id);
        }
    }
}
