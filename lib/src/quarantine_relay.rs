//! Replication of a quarantine to peers.

use std::collections::HashMap;

use crate::ContentFingerprint;
use crate::ContentStatus;
use crate::Quarantine;
use crate::protos::control::QuarantineEntry;
use crate::protos::control::QuarantineUpdate;

/// How long the state of a peer that sends nothing is kept.
const PEER_RETENTION_MS: u64 = 600_000;

/// A quarantine that sends each change to each peer until the peer acknowledges it.
///
/// A message carries a bounded number of changes, the oldest first, and acknowledges the changes
/// applied from the other side. Lost, late and duplicated messages cost at most a repetition: only
/// the quarantine that applied a change can acknowledge it, and a restarted process draws a new
/// random source id for its quarantine.
#[derive(Debug)]
pub struct QuarantineRelay {
    source: u32,
    quarantine: Quarantine,
    max_update_entries: usize,
    peers: HashMap<String, PeerProgress>,
}

/// Replication state between this process and one peer.
#[derive(Debug, Clone, Copy, Default)]
struct PeerProgress {
    /// Source id of the peer's quarantine.
    source: u32,
    /// Version up to which this process applied the peer's changes.
    applied_version: u64,
    /// Version up to which the peer acknowledged the changes of this process.
    acknowledged_version: u64,
    last_contact_ms: u64,
}

impl QuarantineRelay {
    /// Creates the relay of `quarantine` under the id `source`, which no other process may use.
    ///
    /// A message carries at most `max_update_entries` changes.
    #[must_use]
    pub fn new(quarantine: Quarantine, source: u32, max_update_entries: usize) -> Self {
        Self {
            source,
            quarantine,
            max_update_entries,
            peers: HashMap::new(),
        }
    }

    /// Returns the quarantine.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Records the crash of an endpoint on which exactly these contents were running.
    pub fn record_crash(&mut self, contents: &[ContentFingerprint], now_ms: u64) {
        self.quarantine.record_crash(contents, now_ms);
    }

    /// Records that a suspect ran alone without a crash, which clears it.
    pub fn record_solo_success(&mut self, content: ContentFingerprint, now_ms: u64) {
        self.quarantine.record_solo_success(content, now_ms);
    }

    /// Merges the quarantine entries that came with a request or an answer.
    pub fn merge(&mut self, entries: &[QuarantineEntry], now_ms: u64) {
        self.quarantine.merge(entries, now_ms);
    }

    /// Returns whether a content is clear, suspected or quarantined.
    #[must_use]
    pub fn content_status(&self, content: ContentFingerprint, now_ms: u64) -> ContentStatus {
        self.quarantine.content_status(content, now_ms)
    }

    /// Returns the next message to `peer`, or `None` while neither side ever had a change to send.
    ///
    /// A restarted process answers a peer's message even without changes of its own, because its
    /// new source id makes the peer send all its changes again.
    #[must_use]
    pub fn update_for(&self, peer: &str, now_ms: u64) -> Option<QuarantineUpdate> {
        if self.quarantine.version() == 0 && !self.peers.contains_key(peer) {
            return None;
        }
        let progress = self.peers.get(peer).copied().unwrap_or_default();
        let since_version = progress.acknowledged_version;
        let (entries, version) =
            self.quarantine
                .changes_after(since_version, self.max_update_entries, now_ms);
        Some(QuarantineUpdate {
            source: self.source,
            since_version,
            version,
            entries,
            acknowledged_source: progress.source,
            acknowledged_version: progress.applied_version,
        })
    }

    /// Returns whether `peer` has yet to acknowledge a change.
    #[must_use]
    pub fn has_updates_for(&self, peer: &str) -> bool {
        let progress = self.peers.get(peer).copied().unwrap_or_default();
        progress.acknowledged_version < self.quarantine.version()
    }

    /// Applies a message of `peer`.
    pub fn apply_update(&mut self, peer: &str, update: &QuarantineUpdate, now_ms: u64) {
        self.quarantine.merge(&update.entries, now_ms);
        let progress = self.progress(peer, update.source);
        progress.last_contact_ms = now_ms;
        if update.since_version <= progress.applied_version {
            progress.applied_version = progress.applied_version.max(update.version);
        }
        if update.acknowledged_source == self.source {
            let acknowledged_version = update.acknowledged_version.min(self.quarantine.version());
            self.progress(peer, update.source).acknowledged_version = acknowledged_version;
        }
    }

    /// Removes expired entries, and the state of peers without recent messages.
    pub fn expire(&mut self, now_ms: u64) {
        self.quarantine.expire(now_ms);
        self.peers
            .retain(|_, progress| progress.last_contact_ms + PEER_RETENTION_MS > now_ms);
    }

    /// Returns the state of `peer`, reset if the source id of its quarantine has changed.
    fn progress(&mut self, peer: &str, source: u32) -> &mut PeerProgress {
        let progress = self.peers.entry(peer.to_owned()).or_default();
        if progress.source != source {
            *progress = PeerProgress {
                source,
                ..PeerProgress::default()
            };
        }
        progress
    }
}
