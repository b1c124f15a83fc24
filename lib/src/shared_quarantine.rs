//! The quarantine of one process, shared between its actors.

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
const RELAY_MARGIN_MS: u64 = 5_000;
/// Entries that one message carries at most.
const MAX_TOLD_ENTRIES: usize = 32;

/// The quarantine of one process; every change of it is announced.
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
            .transit_margin_ms(RELAY_MARGIN_MS)
            .build();
        let quarantine = Quarantine::new(settings);
        let relay = QuarantineRelay::new(quarantine, rand::random(), MAX_TOLD_ENTRIES);
        Self {
            clock,
            relay: Arc::new(Mutex::new(relay)),
            version: watch::channel(0).0,
        }
    }

    /// Returns what is held against a content.
    pub(crate) fn content_status(&self, content: ContentFingerprint) -> ContentStatus {
        self.lock().content_status(content, self.clock.now_ms())
    }

    /// Notes that an endpoint crashed on which exactly these contents ran.
    pub(crate) fn record_crash(&self, contents: &[ContentFingerprint]) {
        self.change(|relay, now_ms| relay.record_crash(contents, now_ms));
        for content in contents {
            if self.content_status(*content) == ContentStatus::Quarantined {
                event!(ContentQuarantined, "fingerprint={:016x}", content.0);
            }
        }
    }

    /// Notes that a suspect ran alone and ended well.
    pub(crate) fn record_solo_success(&self, content: ContentFingerprint) {
        self.change(|relay, now_ms| relay.record_solo_success(content, now_ms));
    }

    /// Takes what the carrier of a request or an answer holds against its content.
    pub(crate) fn merge(&self, entries: &[QuarantineEntry]) {
        if !entries.is_empty() {
            self.change(|relay, now_ms| relay.merge(entries, now_ms));
        }
    }

    /// Takes a message of `peer`, which is named by its address or its VM.
    pub(crate) fn apply_update(&self, peer: &str, news: Option<&QuarantineUpdate>) {
        if let Some(news) = news {
            self.change(|relay, now_ms| relay.apply_update(peer, news, now_ms));
        }
    }

    /// Returns the next message to `peer`, if there is one.
    pub(crate) fn update_for(&self, peer: &str) -> Option<QuarantineUpdate> {
        self.lock().update_for(peer, self.clock.now_ms())
    }

    /// Returns whether `peer` did not acknowledge every change yet.
    pub(crate) fn has_updates_for(&self, peer: &str) -> bool {
        self.lock().has_updates_for(peer)
    }

    /// Returns what is held against one content, for the agent that is to run it.
    pub(crate) fn entry_of(&self, content: ContentFingerprint) -> Vec<QuarantineEntry> {
        let entry = self
            .lock()
            .quarantine()
            .entry_of(content, self.clock.now_ms());
        entry.into_iter().collect()
    }

    /// Returns the refused contents, for operators.
    pub(crate) fn quarantined(&self) -> Vec<QuarantineEntry> {
        self.lock().quarantine().quarantined(self.clock.now_ms())
    }

    /// Forgets what has expired.
    pub(crate) fn expire(&self) {
        let now_ms = self.clock.now_ms();
        self.lock().expire(now_ms);
    }

    /// Returns a number that grows with each change.
    pub(crate) fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns a receiver that hears of each change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn change(&self, change: impl FnOnce(&mut QuarantineRelay, u64)) {
        let now_ms = self.clock.now_ms();
        let mut relay = self.lock();
        change(&mut relay, now_ms);
        let version = relay.quarantine().version();
        drop(relay);
        self.version.send_if_modified(|known| {
            let is_modified = *known < version;
            *known = version.max(*known);
            is_modified
        });
    }

    fn lock(&self) -> MutexGuard<'_, QuarantineRelay> {
        self.relay.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
