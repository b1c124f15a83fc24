//! Crashes of endpoints at which one suspect was.

use std::collections::BTreeMap;

use crate::SuspectQuarantineSettings;
use crate::protos::control::SuspectCrash;
use crate::protos::control::SuspectReport;

/// Crashes of endpoints at which one suspect was, and which of them are void.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuspectRecord {
    /// Crashes by the run of the endpoint, with the time until which each counts.
    crashes: BTreeMap<u32, u64>,
    /// Crashes that count until this time or a shorter one are void.
    void_until_ms: u64,
    /// Time of the last change that other entries have to learn.
    changed_ms: u64,
    /// Time at which the suspect was last reported; zero for never.
    reported_ms: u64,
    /// Whether a report was due that had no room for the suspect.
    was_left_out: bool,
}

impl SuspectRecord {
    /// Returns the crashes that count, with the time until which each does.
    pub(crate) fn counted(&self, now_ms: u64) -> impl Iterator<Item = (u32, u64)> {
        let crashes = self.crashes.iter().map(|(crash, until)| (*crash, *until));
        crashes.filter(move |(_, until_ms)| *until_ms > now_ms.max(self.void_until_ms))
    }

    /// Returns whether every crash that counts here also counts in `other`.
    pub(crate) fn is_within(&self, other: &Self, now_ms: u64) -> bool {
        self.counted(now_ms)
            .all(|(crash, _)| other.counted(now_ms).any(|(found, _)| found == crash))
    }

    /// Returns the number of crashes, void ones included.
    pub(crate) fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether the crash of a run is known.
    pub(crate) fn knows(&self, crash: u32) -> bool {
        self.crashes.contains_key(&crash)
    }

    pub(crate) fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns the time of the last change that other entries have to learn.
    pub(crate) fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Returns the time at which the suspect was last reported to other entries; zero for never.
    pub(crate) fn reported_ms(&self) -> u64 {
        self.reported_ms
    }

    /// Returns whether a report was due that had no room for the suspect.
    pub(crate) fn was_left_out(&self) -> bool {
        self.was_left_out
    }

    /// Records that the suspect was reported to other entries.
    pub(crate) fn record_report(&mut self, now_ms: u64) {
        self.reported_ms = now_ms;
        self.was_left_out = false;
    }

    /// Records that a report was due and had no room for the suspect, so that a later one has to tell it.
    pub(crate) fn leave_out(&mut self) {
        self.was_left_out = true;
    }

    /// Returns how long crashes count at most that are void.
    pub(crate) fn void_for_ms(&self, now_ms: u64) -> u64 {
        self.void_until_ms.saturating_sub(now_ms)
    }

    /// Returns the crashes as they are reported to other entries.
    pub(crate) fn reported_crashes(&self, now_ms: u64) -> Vec<SuspectCrash> {
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|(_, until_ms)| **until_ms > now_ms);
        let crashes = crashes.map(|(endpoint_run, until_ms)| SuspectCrash {
            endpoint_run: *endpoint_run,
            counts_for_ms: until_ms - now_ms,
        });
        crashes.collect()
    }

    /// Records that the run `crash` of an endpoint crashed; returns whether this was not known.
    ///
    /// A run that crashed and is found dead again later was started again before its new run was
    /// listed, so that this is another crash.
    pub(crate) fn record_crash(
        &mut self,
        crash: u32,
        settings: &SuspectQuarantineSettings,
        now_ms: u64,
    ) -> bool {
        let until_ms = now_ms + settings.evidence_ms;
        let mut key = crash;
        while let Some(known_until_ms) = self.crashes.get(&key) {
            if known_until_ms + settings.same_crash_ms > until_ms {
                return false;
            }
            key = key.wrapping_add(1);
        }
        self.crashes.insert(key, until_ms);
        self.changed_ms = now_ms;
        self.remove_oldest(settings.max_crashes);
        true
    }

    /// Makes crashes void that count until `void_until_ms` or a shorter time.
    pub(crate) fn void_crashes(&mut self, void_until_ms: u64, now_ms: u64) {
        let counted = self.counted(now_ms).count();
        self.void_until_ms = self.void_until_ms.max(void_until_ms);
        if self.counted(now_ms).count() != counted {
            self.changed_ms = now_ms;
        }
    }

    /// Merges the report of another entry.
    pub(crate) fn merge(
        &mut self,
        report: &SuspectReport,
        settings: &SuspectQuarantineSettings,
        now_ms: u64,
    ) {
        let known: Vec<u32> = self.crashes.keys().copied().collect();
        for crash in &report.crashes {
            let counts_for_ms = crash.counts_for_ms.min(settings.evidence_ms);
            if counts_for_ms > settings.transit_margin_ms {
                let until_ms = now_ms + counts_for_ms;
                let known_until_ms = self.crashes.entry(crash.endpoint_run).or_insert(until_ms);
                *known_until_ms = until_ms.min(*known_until_ms);
            }
        }
        self.remove_oldest(settings.max_crashes);
        if self.crashes.keys().ne(known.iter()) {
            self.changed_ms = now_ms;
        }
        if report.void_for_ms > 0 {
            let longest_ms = settings.evidence_ms + settings.survival_covers_ms;
            self.void_crashes(now_ms + report.void_for_ms.min(longest_ms), now_ms);
        }
    }

    /// Removes crashes that no longer count.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.crashes.retain(|_, until_ms| *until_ms > now_ms);
    }

    fn remove_oldest(&mut self, max_crashes: usize) {
        while self.crashes.len() > max_crashes {
            let oldest = self.crashes.iter().min_by_key(|(_, until_ms)| **until_ms);
            let Some(crash) = oldest.map(|(crash, _)| *crash) else {
                return;
            };
            self.crashes.remove(&crash);
        }
    }
}
