//! One run of an endpoint, from its start to its end.

use pomeloramp_proc_macros::value;

use crate::EndpointList;
use crate::EndpointRecord;
use crate::short_hash::short_hash;

/// One run of an endpoint.
#[value]
pub struct EndpointRun {
    /// Id of the endpoint.
    pub id: String,
    /// IP address and port of the endpoint.
    pub address: String,
    /// Time at which the run started, in milliseconds of the Unix epoch; zero if unknown.
    pub born_ms: u64,
}

impl EndpointRun {
    /// Returns the run that a record describes.
    #[must_use]
    pub fn of(record: &EndpointRecord) -> Self {
        Self {
            id: record.id.clone(),
            address: record.address.clone(),
            born_ms: record.born_ms,
        }
    }

    /// Returns a number that identifies the run at all entries.
    pub(crate) fn hash(&self) -> u32 {
        short_hash(&format!("{} {}", self.id, self.born_ms))
    }

    /// Returns whether a list shows that the run has ended: a later one has its id or its address.
    ///
    /// An endpoint that was frozen or cut off goes on in the same run.
    #[must_use]
    pub fn has_ended(&self, list: &EndpointList) -> bool {
        let is_later = |record: &EndpointRecord| {
            let is_same_place = record.id == self.id || record.address == self.address;
            is_same_place && self.born_ms > 0 && record.born_ms > self.born_ms
        };
        list.records.iter().any(|record| is_later(record))
    }
}
