//! The endpoints in use at one moment, and what they were learnt from.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use pomeloramp_proc_macros::value;

use crate::EndpointRecord;
use crate::event;

/// Who told a list of endpoints.
#[value]
pub enum ListSource {
    /// The platform itself.
    Platform,
    /// Another entry, by its control address.
    Entry(String),
}

impl fmt::Display for ListSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => formatter.write_str("platform"),
            Self::Entry(address) => formatter.write_str(address),
        }
    }
}

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
        for record in &self.records {
            let known = before.record(&record.id);
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
        for record in &before.records {
            if self.record(&record.id).is_none() {
                event!(
                    EndpointGone,
                    "endpoint={} was_missing={} endpoints_revision={revision} endpoints_from={source}",
                    record.id,
                    before.missing.contains(&record.id)
                );
            }
        }
    }

    fn record(&self, id: &str) -> Option<&EndpointRecord> {
        let mut records = self.records.iter();
        let found = records.find(|record| record.id == id)?;
        Some(found)
    }
}
