//! Room that each organisation takes up in an agent's record of calls.

use std::collections::HashMap;

/// Room that each organisation takes up in a [`CallRegistry`](crate::CallRegistry).
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
    /// Returns the records of an organisation.
    pub(crate) fn records(&self, organisation: &str) -> usize {
        self.usage(organisation).records
    }

    /// Returns the bytes of an organisation's held answers.
    pub(crate) fn answer_bytes(&self, organisation: &str) -> u64 {
        self.usage(organisation).answer_bytes
    }

    /// Counts a new record.
    pub(crate) fn add_record(&mut self, organisation: &str) {
        let usage = self.by_organisation.entry(organisation.into()).or_default();
        usage.records += 1;
    }

    /// Counts the answer of a record.
    pub(crate) fn add_answer(&mut self, organisation: &str, answer_bytes: u64) {
        let usage = self.by_organisation.entry(organisation.into()).or_default();
        usage.answer_bytes += answer_bytes;
    }

    /// Counts a record that is dropped, with the bytes of the answer that was held.
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
