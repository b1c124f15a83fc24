//! Quarantine of contents and parts of prompts that crash each endpoint that answers them.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::ContentFingerprint;
use crate::CrashSuspect;
use crate::PromptPart;
use crate::SuspectQuarantineSettings;
use crate::protos::control::SuspectReport;
use crate::protos::control::suspect_report::Suspect;
use crate::suspect_record::SuspectRecord;

/// One process's record of what was at crashes of endpoints: contents and parts of prompts, called
/// suspects.
///
/// Calls that share a part of their prompts may differ in everything else, and a crash ends sound calls
/// too. Two kinds of evidence tell the cause from the others that were there: a cause is at crash after
/// crash, and no call with it goes on beyond the start of its answer. A suspect is refused after
/// [`SuspectQuarantineSettings::min_crashes`] crashes that no survival voids.
///
/// Suspects that were at the same crashes can't be told apart. Calls that have all of them are refused,
/// and calls that have only some are accepted: one of those either survives or crashes without the
/// others, which tells them apart.
///
/// Evidence is a set of crashes, each with the time until which it counts, and the time up to which
/// crashes are void. Reports of other entries are merged by set union, and by the minimum and maximum of
/// the times, so that their order, number and detours do not matter.
#[derive(Debug)]
pub struct SuspectQuarantine {
    settings: SuspectQuarantineSettings,
    /// Suspects that were at a crash.
    records: HashMap<CrashSuspect, SuspectRecord>,
    /// When a call with each suspect last survived.
    survivals: HashMap<CrashSuspect, u64>,
}

impl SuspectQuarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(settings: SuspectQuarantineSettings) -> Self {
        Self {
            settings,
            records: HashMap::new(),
            survivals: HashMap::new(),
        }
    }

    /// Records that the endpoint run `crash` crashed while it ran a call with these suspects; returns those
    /// that have been at enough crashes to be refused, unless a survival is reported soon.
    pub fn record_crash(
        &mut self,
        suspects: &[CrashSuspect],
        crash: u32,
        now_ms: u64,
    ) -> Vec<CrashSuspect> {
        self.record_crash_with(suspects, now_ms, now_ms, |record, settings| {
            record.record_crash(crash, settings, now_ms)
        })
    }

    /// Records the same of a run that is known to have ended, some time after it crashed at `crashed_ms`:
    /// it has crashed once, however often it was found dead.
    pub fn record_past_crash(
        &mut self,
        suspects: &[CrashSuspect],
        crash: u32,
        crashed_ms: u64,
        now_ms: u64,
    ) -> Vec<CrashSuspect> {
        self.record_crash_with(suspects, crashed_ms, now_ms, |record, settings| {
            !record.knows(crash) && record.record_crash(crash, settings, now_ms)
        })
    }

    /// Records a crash at `crashed_ms` by `record_crash`, which returns whether it was not known, for the
    /// suspects of which no survival makes it void.
    fn record_crash_with(
        &mut self,
        suspects: &[CrashSuspect],
        crashed_ms: u64,
        now_ms: u64,
        record_crash: impl Fn(&mut SuspectRecord, &SuspectQuarantineSettings) -> bool,
    ) -> Vec<CrashSuspect> {
        let until_ms = crashed_ms + self.settings.evidence_ms;
        let mut quarantined = Vec::new();
        for suspect in suspects {
            let void_until_ms = self.void_until_ms(*suspect);
            if until_ms <= void_until_ms {
                continue;
            }
            let record = self.records.entry(*suspect).or_default();
            record.void_crashes(void_until_ms, now_ms);
            let is_new = record_crash(record, &self.settings);
            if is_new && self.has_enough_crashes(*suspect, now_ms) {
                quarantined.push(*suspect);
            }
        }
        self.evict();
        quarantined
    }

    /// Records that a call with these suspects went on beyond the start of its answer.
    pub fn record_survival(&mut self, suspects: &[CrashSuspect], now_ms: u64) {
        for suspect in suspects {
            self.survivals.insert(*suspect, now_ms);
            let void_until_ms = self.void_until_ms(*suspect);
            if let Some(record) = self.records.get_mut(suspect) {
                record.void_crashes(void_until_ms, now_ms);
            }
        }
        if self.survivals.len() > self.settings.max_survivals {
            self.forget_survivals(now_ms);
        }
    }

    /// Returns a suspect for which a call with these suspects is refused, and for how much longer.
    #[must_use]
    pub fn refusal(&self, suspects: &[CrashSuspect], now_ms: u64) -> Option<(CrashSuspect, u64)> {
        if self.records.is_empty() {
            return None;
        }
        suspects.iter().find_map(|suspect| {
            let remaining_ms = self.refused_for_ms(*suspect, now_ms)?;
            let is_explained = self.is_explained_without(*suspect, suspects, now_ms);
            (!is_explained).then_some((*suspect, remaining_ms))
        })
    }

    /// Merges the reports of another entry; returns the suspects that have now been at enough crashes to
    /// be refused.
    pub fn merge(&mut self, reports: &[SuspectReport], now_ms: u64) -> Vec<CrashSuspect> {
        let mut quarantined = Vec::new();
        for report in reports {
            let Some(suspect) = report.suspect.as_ref().map(read_suspect) else {
                continue;
            };
            let had_enough = self.has_enough_crashes(suspect, now_ms);
            self.merge_report(suspect, report, now_ms);
            if !had_enough && self.has_enough_crashes(suspect, now_ms) {
                quarantined.push(suspect);
            }
        }
        self.evict();
        quarantined
    }

    fn merge_report(&mut self, suspect: CrashSuspect, report: &SuspectReport, now_ms: u64) {
        let void_until_ms = self.void_until_ms(suspect);
        let mut record = self.records.remove(&suspect).unwrap_or_default();
        record.merge(report, &self.settings, now_ms);
        record.void_crashes(void_until_ms, now_ms);
        if record.has_crashes() {
            self.records.insert(suspect, record);
        }
    }

    /// Returns what other entries have to learn: recent changes, and each refused suspect in every round
    /// with `is_full`. Suspects with the most crashes come first, then those that were not reported for
    /// longest. What has no room is due again in the next report.
    #[must_use]
    pub fn reports(&mut self, is_full: bool, now_ms: u64) -> Vec<SuspectReport> {
        let mut due = self.due_reports(is_full, now_ms);
        let room = self.settings.max_reports.min(due.len());
        for suspect in due.split_off(room) {
            if let Some(record) = self.records.get_mut(&suspect) {
                record.leave_out();
            }
        }
        let reports = due.into_iter().filter_map(|suspect| {
            let record = self.records.get_mut(&suspect)?;
            record.record_report(now_ms);
            Some(SuspectReport {
                suspect: Some(message(suspect)),
                crashes: record.reported_crashes(now_ms),
                void_for_ms: record.void_for_ms(now_ms),
            })
        });
        reports.collect()
    }

    /// Returns the suspects that a report is due for, the most important first.
    fn due_reports(&self, is_full: bool, now_ms: u64) -> Vec<CrashSuspect> {
        let relay_ms = self.settings.change_relay_ms;
        let due = self.records.iter().filter(|(suspect, record)| {
            let is_recent = now_ms.saturating_sub(record.changed_ms()) <= relay_ms;
            let is_refused = || self.refused_for_ms(**suspect, now_ms).is_some();
            is_recent || record.was_left_out() || (is_full && is_refused())
        });
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(suspect, record)| {
            let crashes = record.counted(now_ms).count();
            let changed_ms = record.changed_ms();
            (
                Reverse(crashes),
                record.reported_ms(),
                changed_ms,
                **suspect,
            )
        });
        due.into_iter().map(|(suspect, _)| *suspect).collect()
    }

    /// Returns the endpoint runs at whose crashes a suspect was and which count.
    #[must_use]
    pub fn crashes(&self, suspect: CrashSuspect, now_ms: u64) -> Vec<u32> {
        let record = self.records.get(&suspect);
        let crashes = record.into_iter().flat_map(|record| record.counted(now_ms));
        crashes.map(|(crash, _)| crash).collect()
    }

    /// Returns whether a suspect was at a crash that counts.
    #[must_use]
    pub fn is_suspected(&self, suspect: CrashSuspect, now_ms: u64) -> bool {
        let record = self.records.get(&suspect);
        record.is_some_and(|record| record.counted(now_ms).next().is_some())
    }

    /// Returns the number of suspects that are refused.
    #[must_use]
    pub fn refused_count(&self, now_ms: u64) -> usize {
        let suspects = self.records.keys();
        suspects
            .filter(|suspect| self.refused_for_ms(**suspect, now_ms).is_some())
            .count()
    }

    /// Removes what no longer counts.
    pub fn expire(&mut self, now_ms: u64) {
        for record in self.records.values_mut() {
            record.expire(now_ms);
        }
        self.records.retain(|_, record| record.has_crashes());
        self.forget_survivals(now_ms);
    }

    fn has_enough_crashes(&self, suspect: CrashSuspect, now_ms: u64) -> bool {
        let record = self.records.get(&suspect);
        record.is_some_and(|record| record.counted(now_ms).count() >= self.settings.min_crashes)
    }

    /// Returns for how much longer a suspect is refused in calls that have all suspects of its crashes;
    /// `None` when it is accepted.
    fn refused_for_ms(&self, suspect: CrashSuspect, now_ms: u64) -> Option<u64> {
        let settings = &self.settings;
        let record = self.records.get(&suspect)?;
        let latest_until_ms = record.counted(now_ms).map(|(_, until_ms)| until_ms).max()?;
        let confirmed_until_ms = now_ms + settings.evidence_ms - settings.confirm_ms;
        let confirmed = record.counted(now_ms);
        let confirmed = confirmed.filter(|(_, until_ms)| *until_ms <= confirmed_until_ms);
        if confirmed.count() < settings.min_crashes {
            return None;
        }
        let remaining_ms = latest_until_ms.saturating_sub(now_ms);
        let probation_ms = settings.evidence_ms - settings.refusal_ms;
        remaining_ms
            .checked_sub(probation_ms)
            .filter(|remaining_ms| *remaining_ms > 0)
    }

    /// Returns whether one refused suspect that is not among `suspects` was at all crashes of `suspect`.
    fn is_explained_without(
        &self,
        suspect: CrashSuspect,
        suspects: &[CrashSuspect],
        now_ms: u64,
    ) -> bool {
        let Some(record) = self.records.get(&suspect) else {
            return false;
        };
        self.records.iter().any(|(other, other_record)| {
            self.refused_for_ms(*other, now_ms).is_some()
                && !suspects.contains(other)
                && record.is_within(other_record, now_ms)
        })
    }

    /// Returns the time until which crashes count that a survival of the suspect makes void.
    fn void_until_ms(&self, suspect: CrashSuspect) -> u64 {
        let settings = &self.settings;
        self.survivals.get(&suspect).map_or(0, |survived_ms| {
            survived_ms + settings.survival_covers_ms + settings.evidence_ms
        })
    }

    fn forget_survivals(&mut self, now_ms: u64) {
        let memory_ms = self.settings.survival_memory_ms;
        self.survivals
            .retain(|_, survived_ms| now_ms.saturating_sub(*survived_ms) <= memory_ms);
        if self.survivals.len() > self.settings.max_survivals {
            // The middle of the times separates the older half.
            let mut times: Vec<u64> = self.survivals.values().copied().collect();
            let middle = times.len() / 2;
            let (_, middle_ms, _) = times.select_nth_unstable(middle);
            let middle_ms = *middle_ms;
            self.survivals
                .retain(|_, survived_ms| *survived_ms > middle_ms);
        }
    }

    /// Removes the records with the fewest crashes, the oldest first, while there are too many.
    fn evict(&mut self) {
        let excess = self
            .records
            .len()
            .saturating_sub(self.settings.max_suspects);
        if excess == 0 {
            return;
        }
        let records = self.records.iter();
        let mut ranked: Vec<_> = records
            .map(|(suspect, record)| (record.crash_count(), record.changed_ms(), *suspect))
            .collect();
        let (evicted, _, _) = ranked.select_nth_unstable(excess);
        for (_, _, suspect) in evicted {
            self.records.remove(suspect);
        }
    }
}

fn message(suspect: CrashSuspect) -> Suspect {
    match suspect {
        CrashSuspect::Content(fingerprint) => Suspect::Content(fingerprint.0),
        CrashSuspect::Part(part) => Suspect::Part(part.0),
    }
}

fn read_suspect(message: &Suspect) -> CrashSuspect {
    match message {
        Suspect::Content(fingerprint) => CrashSuspect::Content(ContentFingerprint(*fingerprint)),
        Suspect::Part(id) => CrashSuspect::Part(PromptPart(*id)),
    }
}
