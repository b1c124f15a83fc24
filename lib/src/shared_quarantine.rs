//! The quarantine of one process, shared between its threads and tasks.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::watch;

use crate::ContentFingerprint;
use crate::ContentStatus;
use crate::Quarantine;
use crate::QuarantineRelay;
use crate::QuarantineSettings;
use crate::clock::Clock;
use crate::event;
use crate::protos::control::QuarantineEntry;
use crate::protos::control::QuarantineUpdate;

const MAX_ENTRIES: usize = 4096;
const SUSPICION_MS: u64 = 600_000;
const QUARANTINE_MS: u64 = 3_600_000;
const TRANSIT_MARGIN_MS: u64 = 5_000;
/// Maximum number of entries in one message.
const MAX_UPDATE_ENTRIES: usize = 32;

/// The quarantine of one process, which notifies subscribers of each change.
#[derive(Debug, Clone)]
pub(crate) struct SharedQuarantine {
    clock: Clock,
    relay: Arc<Mutex<QuarantineRelay>>,
    version: watch::Sender<u64>,
}

impl SharedQuarantine {
    /// Creates an empty quarantine.
    pub(crate) fn new(clock: Clock) -> Self {
        let settings = QuarantineSettings::builder()
            .max_entries(MAX_ENTRIES)
            .suspicion_ms(SUSPICION_MS)
            .quarantine_ms(QUARANTINE_MS)
            .transit_margin_ms(TRANSIT_MARGIN_MS)
            .build();
        let quarantine = Quarantine::new(settings);
        let relay = QuarantineRelay::new(quarantine, rand::random(), MAX_UPDATE_ENTRIES);
        Self {
            clock,
            relay: Arc::new(Mutex::new(relay)),
            version: watch::channel(0).0,
        }
    }

    /// Returns whether a content is clear, suspected or quarantined.
    pub(crate) fn content_status(&self, content: ContentFingerprint) -> ContentStatus {
        self.lock().content_status(content, self.clock.now_ms())
    }

    /// Records the crash of an endpoint on which exactly these contents were running.
    pub(crate) fn record_crash(&self, contents: &[ContentFingerprint]) {
        self.update(|relay, now_ms| relay.record_crash(contents, now_ms));
        for content in contents {
            if self.content_status(*content) == ContentStatus::Quarantined {
                event!(ContentQuarantined, "fingerprint={:016x}", content.0);
            }
        }
    }

    /// Records that a suspect ran alone without a crash, which clears it.
    pub(crate) fn record_solo_success(&self, content: ContentFingerprint) {
        self.update(|relay, now_ms| relay.record_solo_success(content, now_ms));
    }

    /// Merges the quarantine entries that came with a request or an answer.
    pub(crate) fn merge(&self, entries: &[QuarantineEntry]) {
        if !entries.is_empty() {
            self.update(|relay, now_ms| relay.merge(entries, now_ms));
        }
    }

    /// Applies a message of `peer`, which is identified by its address or its VM name.
    pub(crate) fn apply_update(&self, peer: &str, update: Option<&QuarantineUpdate>) {
        if let Some(update) = update {
            self.update(|relay, now_ms| relay.apply_update(peer, update, now_ms));
        }
    }

    /// Returns the next message to `peer`, or `None` while neither side ever had a change to send.
    pub(crate) fn update_for(&self, peer: &str) -> Option<QuarantineUpdate> {
        self.lock().update_for(peer, self.clock.now_ms())
    }

    /// Returns whether `peer` has yet to acknowledge a change.
    pub(crate) fn has_updates_for(&self, peer: &str) -> bool {
        self.lock().has_updates_for(peer)
    }

    /// Returns the entry of one content, for a request to the agent that runs it or for its answer.
    pub(crate) fn entry_of(&self, content: ContentFingerprint) -> Vec<QuarantineEntry> {
        let entry = self
            .lock()
            .quarantine()
            .entry_of(content, self.clock.now_ms());
        entry.into_iter().collect()
    }

    /// Returns the quarantined contents, for operators.
    pub(crate) fn quarantined(&self) -> Vec<QuarantineEntry> {
        self.lock().quarantine().quarantined(self.clock.now_ms())
    }

    /// Removes expired entries and inactive peers.
    pub(crate) fn expire(&self) {
        let now_ms = self.clock.now_ms();
        self.lock().expire(now_ms);
    }

    /// Returns the version, which rises with each change.
    pub(crate) fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns a receiver that is notified of each change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn update(&self, apply: impl FnOnce(&mut QuarantineRelay, u64)) {
        let now_ms = self.clock.now_ms();
        let mut relay = self.lock();
        apply(&mut relay, now_ms);
        let version = relay.quarantine().version();
        drop(relay);
        self.version.send_if_modified(|published| {
            let is_modified = *published < version;
            *published = version.max(*published);
            is_modified
        });
    }

    fn lock(&self) -> MutexGuard<'_, QuarantineRelay> {
        self.relay.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
