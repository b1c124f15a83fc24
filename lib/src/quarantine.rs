//! Quarantine of request content that crashed endpoints.

use std::collections::HashMap;

use crate::ContentFingerprint;
use crate::ContentStatus;
use crate::QuarantineSettings;
use crate::protos::control::QuarantineEntry;

/// One process's record of content that was running on endpoints when they crashed.
///
/// A crash makes every content that was running there a suspect. A suspect is quarantined only when
/// an endpoint crashes on which it runs alone, so content that merely shared a batch with the cause
/// is never refused. A successful run alone clears a suspect.
///
/// An entry holds the number of crashes, the number of crashes up to which the content was cleared,
/// whether it is quarantined, and the time at which the entry expires. Entries of peers are merged
/// by taking the maximum of each field, so reordered, repeated and forwarded messages do no harm.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    entries: HashMap<ContentFingerprint, Entry>,
    version: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Entry {
    crashes: u32,
    cleared_crashes: u32,
    quarantined: bool,
    expires_ms: u64,
    /// Version of the quarantine at the entry's last change.
    version: u64,
}

impl Entry {
    fn content_status(&self) -> ContentStatus {
        if self.quarantined {
            ContentStatus::Quarantined
        } else if self.crashes > self.cleared_crashes {
            ContentStatus::Suspect
        } else {
            ContentStatus::Clear
        }
    }

    /// Sort key for eviction: entries with the lowest key are evicted first.
    fn eviction_priority(&self) -> (ContentStatus, u64) {
        (self.content_status(), self.expires_ms)
    }
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            version: 0,
        }
    }

    /// Returns whether a content is clear, suspected or quarantined.
    #[must_use]
    pub fn content_status(&self, content: ContentFingerprint, now_ms: u64) -> ContentStatus {
        self.entry(content, now_ms).content_status()
    }

    /// Records the crash of an endpoint on which exactly these contents were running.
    ///
    /// Must not be called for an endpoint that was shut down on purpose.
    pub fn record_crash(&mut self, contents: &[ContentFingerprint], now_ms: u64) {
        let ran_alone = match contents {
            [first, rest @ ..] => rest.iter().all(|content| content == first),
            [] => return,
        };
        let mut contents = contents.to_vec();
        contents.sort_unstable();
        contents.dedup();
        for content in contents {
            let mut entry = self.entry(content, now_ms);
            let is_suspect = entry.content_status() == ContentStatus::Suspect;
            entry.quarantined |= ran_alone && is_suspect;
            self.store_crash(content, entry, now_ms);
        }
    }

    /// Records that a suspect ran alone without a crash, which clears it.
    pub fn record_solo_success(&mut self, content: ContentFingerprint, now_ms: u64) {
        let mut entry = self.entry(content, now_ms);
        if entry.content_status() == ContentStatus::Suspect {
            entry.cleared_crashes = entry.crashes;
            self.store(content, entry, now_ms);
        }
    }

    /// Merges entries of a peer. The merge is commutative and idempotent.
    pub fn merge(&mut self, entries: &[QuarantineEntry], now_ms: u64) {
        for peer_entry in entries {
            let margin_ms = self.settings.transit_margin_ms;
            let remaining_ms = peer_entry.expires_in_ms.min(self.max_lifetime_ms());
            let remaining_ms = remaining_ms.saturating_sub(margin_ms);
            if remaining_ms == 0 {
                continue;
            }
            let content = ContentFingerprint(peer_entry.fingerprint);
            let mut entry = self.entry(content, now_ms);
            entry.crashes = entry.crashes.max(peer_entry.crashes);
            entry.cleared_crashes = entry.cleared_crashes.max(peer_entry.cleared_crashes);
            entry.quarantined |= peer_entry.quarantined;
            entry.expires_ms = entry.expires_ms.max(now_ms.saturating_add(remaining_ms));
            self.store(content, entry, now_ms);
        }
    }

    /// Returns the version, which rises with every change that peers must receive.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the first `max_entries` changes after `version`, and the version that they lead to.
    ///
    /// A peer that has all changes up to `version` and applies these has all changes up to the
    /// returned version.
    #[must_use]
    pub fn changes_after(
        &self,
        version: u64,
        max_entries: usize,
        now_ms: u64,
    ) -> (Vec<QuarantineEntry>, u64) {
        if version >= self.version {
            return (Vec::new(), self.version);
        }
        let is_changed = |entry: &Entry| entry.expires_ms > now_ms && entry.version > version;
        let changes = self.entries.iter().filter(|(_, entry)| is_changed(entry));
        let mut changes: Vec<_> = changes.collect();
        changes.sort_unstable_by_key(|(_, entry)| entry.version);
        let is_truncated = changes.len() > max_entries;
        changes.truncate(max_entries);
        let last_version = changes.last().map(|(_, entry)| entry.version);
        let messages = changes
            .into_iter()
            .map(|(content, entry)| message(*content, entry, now_ms));
        let version = last_version
            .filter(|_| is_truncated)
            .unwrap_or(self.version);
        (messages.collect(), version)
    }

    /// Returns the entry of one content, for a request to the agent that runs it.
    #[must_use]
    pub fn entry_of(&self, content: ContentFingerprint, now_ms: u64) -> Option<QuarantineEntry> {
        let entry = self.entries.get(&content)?;
        (entry.expires_ms > now_ms).then(|| message(content, entry, now_ms))
    }

    /// Returns the quarantined contents in the order of their fingerprints, for operators.
    #[must_use]
    pub fn quarantined(&self, now_ms: u64) -> Vec<QuarantineEntry> {
        let is_quarantined = |entry: &Entry| entry.expires_ms > now_ms && entry.quarantined;
        let quarantined = self
            .entries
            .iter()
            .filter(|(_, entry)| is_quarantined(entry));
        let mut messages: Vec<_> = quarantined
            .map(|(content, entry)| message(*content, entry, now_ms))
            .collect();
        messages.sort_unstable_by_key(|entry| entry.fingerprint);
        messages
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now_ms: u64) {
        self.entries.retain(|_, entry| entry.expires_ms > now_ms);
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&self, content: ContentFingerprint, now_ms: u64) -> Entry {
        let entry = self.entries.get(&content);
        let live = entry.filter(|entry| entry.expires_ms > now_ms);
        live.copied().unwrap_or_default()
    }

    fn max_lifetime_ms(&self) -> u64 {
        let settings = &self.settings;
        settings.quarantine_ms.max(settings.suspicion_ms)
    }

    /// Adds a crash to an entry and stores it.
    fn store_crash(&mut self, content: ContentFingerprint, mut entry: Entry, now_ms: u64) {
        entry.crashes += 1;
        let lifetime_ms = if entry.quarantined {
            self.settings.quarantine_ms
        } else {
            self.settings.suspicion_ms
        };
        entry.expires_ms = entry.expires_ms.max(now_ms + lifetime_ms);
        self.store(content, entry, now_ms);
    }

    /// Stores an entry. The version rises unless only the time of expiry changed.
    fn store(&mut self, content: ContentFingerprint, mut entry: Entry, now_ms: u64) {
        let before = self.entry(content, now_ms);
        let replicated_fields =
            |entry: &Entry| (entry.crashes, entry.cleared_crashes, entry.quarantined);
        if replicated_fields(&before) != replicated_fields(&entry) {
            self.version += 1;
            entry.version = self.version;
        }
        self.entries.insert(content, entry);
        if self.entries.len() > self.settings.max_entries {
            self.evict_lowest_priority();
        }
    }

    fn evict_lowest_priority(&mut self) {
        let lowest = self
            .entries
            .iter()
            .min_by_key(|(content, entry)| (entry.eviction_priority(), **content));
        if let Some(content) = lowest.map(|(content, _)| *content) {
            self.entries.remove(&content);
        }
    }
}

fn message(content: ContentFingerprint, entry: &Entry, now_ms: u64) -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: content.0,
        crashes: entry.crashes,
        expires_in_ms: entry.expires_ms - now_ms,
        cleared_crashes: entry.cleared_crashes,
        quarantined: entry.quarantined,
    }
}
