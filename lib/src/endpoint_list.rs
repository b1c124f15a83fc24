//! A list of endpoints in use, and its source.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use pomeloramp_proc_macros::value;

use crate::EndpointRecord;
use crate::ListSource;
use crate::PlatformRevision;
use crate::event;

/// A list of endpoints in use, and its source.
#[value]
pub struct EndpointList {
    /// The endpoints, including those that are leaving.
    pub records: Vec<Arc<EndpointRecord>>,
    /// Ids of endpoints that the platform no longer lists and that are kept for a grace period.
    pub missing: BTreeSet<String>,
    /// Ids of endpoints that a restored platform lists although they had left.
    pub held_back: BTreeSet<String>,
    /// Position of the list in the platform's history.
    pub position: PlatformRevision,
    /// Source of the list.
    pub source: ListSource,
}

impl EndpointList {
    /// Logs the changes since `before`; for a first list, only the number of endpoints.
    pub(crate) fn log_changes_since(&self, before: Option<&Self>) {
        let PlatformRevision { era, revision } = self.position;
        let source = &self.source;
        let Some(before) = before else {
            let endpoints = self.records.len();
            event!(
                EndpointsListed,
                "endpoints={endpoints} endpoints_era={era} endpoints_revision={revision} endpoints_from={source}"
            );
            return;
        };
        let known_before = before.by_id();
        for record in &self.records {
            let known = known_before.get(record.id.as_str());
            let is_new = known.is_none_or(|known| known.born_ms != record.born_ms);
            let was_leaving = known.is_some_and(|known| known.is_leaving);
            let id = record.id.as_str();
            if is_new {
                let service = &record.service;
                event!(
                    EndpointJoined,
                    "endpoint={id} service={service} endpoints_era={era} endpoints_revision={revision} endpoints_from={source}"
                );
            }
            if record.is_leaving && (is_new || !was_leaving) {
                event!(
                    EndpointLeaving,
                    "endpoint={id} endpoints_era={era} endpoints_revision={revision} endpoints_from={source}"
                );
            }
            if self.missing.contains(id) && !before.missing.contains(id) {
                event!(
                    EndpointKept,
                    "endpoint={id} endpoints_era={era} endpoints_revision={revision} endpoints_from={source}"
                );
            }
        }
        for id in self.held_back.difference(&before.held_back) {
            event!(
                EndpointHeldBack,
                "endpoint={id} endpoints_era={era} endpoints_revision={revision} endpoints_from={source}"
            );
        }
        let known_now = self.by_id();
        for record in &before.records {
            if !known_now.contains_key(record.id.as_str()) {
                event!(
                    EndpointGone,
                    "endpoint={} was_missing={} endpoints_era={era} endpoints_revision={revision} endpoints_from={source}",
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
