//! Content that crashed endpoints.

use std::collections::HashMap;

use crate::ContentFingerprint;
use crate::ContentStatus;
use crate::QuarantineSettings;
use crate::protos::control::QuarantineEntry;

/// What one process knows of content that ran on endpoints when they crashed.
///
/// A crash makes every content that ran there a suspect. Only a crash of an endpoint on which a
/// suspect ran alone quarantines it, so content that merely shared a batch is never refused. A run
/// alone that ends well clears a suspect.
///
/// For each content the process keeps the count of crashes, the count up to which it was cleared,
/// whether it is quarantined, and when all this expires. Entries of peers are merged by taking the
/// larger of each, so order, repetition and detours of messages do not matter.
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
    /// Version of the quarantine at which the entry last changed.
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

    /// Order in which entries are dropped when there are too many.
    fn worth(&self) -> (ContentStatus, u64) {
        (self.content_status(), self.expires_ms)
    }
}

impl Quarantine {
    /// Makes an empty quarantine.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            version: 0,
        }
    }

    /// Returns what is held against a content.
    #[must_use]
    pub fn content_status(&self, content: ContentFingerprint, now_ms: u64) -> ContentStatus {
        self.entry(content, now_ms).content_status()
    }

    /// Notes that an endpoint crashed on which exactly these contents ran.
    ///
    /// Must not be called for an endpoint that was shut down on purpose.
    pub fn record_crash(&mut self, contents: &[ContentFingerprint], now_ms: u64) {
        let alone = match contents {
            [first, rest @ ..] => rest.iter().all(|content| content == first),
            [] => return,
        };
        let mut contents = contents.to_vec();
        contents.sort_unstable();
        contents.dedup();
        for content in contents {
            let mut entry = self.entry(content, now_ms);
            let suspected = entry.content_status() == ContentStatus::Suspect;
            entry.quarantined |= alone && suspected;
            self.store_crash(content, entry, now_ms);
        }
    }

    /// Notes that an endpoint crashed on which these contents ran beside others that may have caused
    /// the crash; only the number of crashes is held against them.
    pub fn record_shared_crash(&mut self, contents: &[ContentFingerprint], now_ms: u64) {
        let mut contents = contents.to_vec();
        contents.sort_unstable();
        contents.dedup();
        for content in contents {
            let mut entry = self.entry(content, now_ms);
            let limit = self.settings.quarantine_after_shared_crashes;
            let uncleared = (entry.crashes + 1).saturating_sub(entry.cleared_crashes);
            entry.quarantined |= limit > 0 && uncleared >= limit;
            self.store_crash(content, entry, now_ms);
        }
    }

    /// Notes that a suspect ran alone and ended well.
    pub fn record_solo_success(&mut self, content: ContentFingerprint, now_ms: u64) {
        let mut entry = self.entry(content, now_ms);
        if entry.content_status() == ContentStatus::Suspect {
            entry.cleared_crashes = entry.crashes;
            self.store(content, entry, now_ms);
        }
    }

    /// Merges entries of a peer; the order and number of merges do not matter.
    pub fn merge(&mut self, entries: &[QuarantineEntry], now_ms: u64) {
        for told in entries {
            let margin_ms = self.settings.transit_margin_ms;
            let remaining_ms = told.expires_in_ms.min(self.longest_lifetime_ms());
            let remaining_ms = remaining_ms.saturating_sub(margin_ms);
            if remaining_ms == 0 {
                continue;
            }
            let content = ContentFingerprint(told.fingerprint);
            let mut entry = self.entry(content, now_ms);
            entry.crashes = entry.crashes.max(told.crashes);
            entry.cleared_crashes = entry.cleared_crashes.max(told.cleared_crashes);
            entry.quarantined |= told.quarantined;
            entry.expires_ms = entry.expires_ms.max(now_ms.saturating_add(remaining_ms));
            self.store(content, entry, now_ms);
        }
    }

    /// Returns the version, which rises with every change worth telling peers.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the first `max_entries` changes after `version`, and the version they lead up to.
    ///
    /// Whoever takes them and knows all up to `version` then knows all up to the version returned.
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
        let is_news = |entry: &Entry| entry.expires_ms > now_ms && entry.version > version;
        let news = self.entries.iter().filter(|(_, entry)| is_news(entry));
        let mut news: Vec<_> = news.collect();
        news.sort_unstable_by_key(|(_, entry)| entry.version);
        let is_cut = news.len() > max_entries;
        news.truncate(max_entries);
        let last = news.last().map(|(_, entry)| entry.version);
        let messages = news
            .into_iter()
            .map(|(content, entry)| message(*content, entry, now_ms));
        let version = last.filter(|_| is_cut).unwrap_or(self.version);
        (messages.collect(), version)
    }

    /// Returns what is remembered of one content, for the agent that is to run it.
    #[must_use]
    pub fn entry_of(&self, content: ContentFingerprint, now_ms: u64) -> Option<QuarantineEntry> {
        let entry = self.entries.get(&content)?;
        (entry.expires_ms > now_ms).then(|| message(content, entry, now_ms))
    }

    /// Returns the refused contents, by fingerprint, for operators.
    #[must_use]
    pub fn quarantined(&self, now_ms: u64) -> Vec<QuarantineEntry> {
        let is_refused = |entry: &Entry| entry.expires_ms > now_ms && entry.quarantined;
        let refused = self.entries.iter().filter(|(_, entry)| is_refused(entry));
        let mut messages: Vec<_> = refused
            .map(|(content, entry)| message(*content, entry, now_ms))
            .collect();
        messages.sort_unstable_by_key(|entry| entry.fingerprint);
        messages
    }

    /// Forgets expired entries.
    pub fn expire(&mut self, now_ms: u64) {
        self.entries.retain(|_, entry| entry.expires_ms > now_ms);
    }

    /// Returns how many contents are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no content is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&self, content: ContentFingerprint, now_ms: u64) -> Entry {
        let entry = self.entries.get(&content);
        let live = entry.filter(|entry| entry.expires_ms > now_ms);
        live.copied().unwrap_or_default()
    }

    fn longest_lifetime_ms(&self) -> u64 {
        let settings = &self.settings;
        settings.quarantine_ms.max(settings.suspicion_ms)
    }

    /// Stores an entry with one more crash.
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

    /// Stores an entry; its version rises unless only its time changed.
    fn store(&mut self, content: ContentFingerprint, mut entry: Entry, now_ms: u64) {
        let before = self.entry(content, now_ms);
        let facts = |entry: &Entry| (entry.crashes, entry.cleared_crashes, entry.quarantined);
        if facts(&before) != facts(&entry) {
            self.version += 1;
            entry.version = self.version;
        }
        self.entries.insert(content, entry);
        if self.entries.len() > self.settings.max_entries {
            self.drop_least();
        }
    }

    fn drop_least(&mut self) {
        let least = self
            .entries
            .iter()
            .min_by_key(|(content, entry)| (entry.worth(), **content));
        if let Some(content) = least.map(|(content, _)| *content) {
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
