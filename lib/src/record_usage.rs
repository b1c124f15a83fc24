//! Call records and answer bytes that each organisation holds at an agent.

use std::collections::HashMap;

/// Number of call records and bytes of stored answers that each organisation holds in a
/// [`CallRegistry`](crate::CallRegistry).
#[derive(Debug, Default)]
pub(crate) struct RecordUsage {
    by_organisation: HashMap<Box<str>, Usage>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    records: usize,
    answer_bytes: u64,
}

impl RecordUsage {
    /// Returns the number of records of an organisation.
    pub(crate) fn records(&self, organisation: &str) -> usize {
        self.usage(organisation).records
    }

    /// Returns the bytes of the stored answers of an organisation.
    pub(crate) fn answer_bytes(&self, organisation: &str) -> u64 {
        self.usage(organisation).answer_bytes
    }

    /// Adds a record.
    pub(crate) fn add_record(&mut self, organisation: &str) {
        let usage = self.by_organisation.entry(organisation.into()).or_default();
        usage.records += 1;
    }

    /// Adds the stored answer of a record.
    pub(crate) fn add_answer(&mut self, organisation: &str, answer_bytes: u64) {
        let usage = self.by_organisation.entry(organisation.into()).or_default();
        usage.answer_bytes += answer_bytes;
    }

    /// Removes a record, with the bytes of its stored answer.
    pub(crate) fn remove(&mut self, organisation: &str, answer_bytes: u64) {
        let Some(usage) = self.by_organisation.get_mut(organisation) else {
            return;
        };
        usage.records -= 1;
        usage.answer_bytes -= answer_bytes;
        if usage.records == 0 {
            self.by_organisation.remove(organisation);
        }
    }

    fn usage(&self, organisation: &str) -> Usage {
        let usage = self.by_organisation.get(organisation);
        usage.copied().unwrap_or_default()
    }
}
