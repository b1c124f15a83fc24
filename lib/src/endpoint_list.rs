//! The endpoints in use at one moment, and what they were learnt from.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use pomeloramp_proc_macros::value;

use crate::EndpointRecord;
use crate::ListSource;
use crate::event;

/// The endpoints in use at one moment, and what they were learnt from.
#[value]
pub struct EndpointList {
    /// The endpoints, those included that leave.
    pub records: Vec<Arc<EndpointRecord>>,
    /// Ids of endpoints that the platform no longer lists and that are kept for a while.
    pub missing: BTreeSet<String>,
    /// Revision of the platform of which the list is.
    pub revision: u64,
    /// Who told the list.
    pub source: ListSource,
}

impl EndpointList {
    /// Logs what has changed since `before`; of a first list, only how long it is.
    pub(crate) fn log_changes_since(&self, before: Option<&Self>) {
        let revision = self.revision;
        let source = &self.source;
        let Some(before) = before else {
            let endpoints = self.records.len();
            event!(
                EndpointsListed,
                "endpoints={endpoints} endpoints_revision={revision} endpoints_from={source}"
            );
            return;
        };
        let known_before = before.by_id();
        for record in &self.records {
            let known = known_before.get(record.id.as_str());
            let is_news = known.is_none_or(|known| known.born_ms != record.born_ms);
            let was_leaving = known.is_some_and(|known| known.is_leaving);
            let id = record.id.as_str();
            if is_news {
                let service = &record.service;
                event!(
                    EndpointJoined,
                    "endpoint={id} service={service} endpoints_revision={revision} endpoints_from={source}"
                );
            }
            if record.is_leaving && (is_news || !was_leaving) {
                event!(
                    EndpointLeaving,
                    "endpoint={id} endpoints_revision={revision} endpoints_from={source}"
                );
            }
            if self.missing.contains(id) && !before.missing.contains(id) {
                event!(
                    EndpointKept,
                    "endpoint={id} endpoints_revision={revision} endpoints_from={source}"
                );
            }
        }
        let known_now = self.by_id();
        for record in &before.records {
            if !known_now.contains_key(record.id.as_str()) {
                event!(
                    EndpointGone,
                    "endpoint={} was_missing={} endpoints_revision={revision} endpoints_from={source}",
                    record.id,
                    before.missing.contains(&record.id)
                );
            }
        }
    }

    fn by_id(&self) -> HashMap<&str, &EndpointRecord> {
        let records = self.records.iter();
        records
            .map(|record| (record.id.as_str(), record.as_ref()))
            .collect()
    }
}
