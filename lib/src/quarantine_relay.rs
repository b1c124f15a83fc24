//! Tells peers what changed in a quarantine.

use std::collections::HashMap;

use crate::ContentFingerprint;
use crate::ContentStatus;
use crate::Quarantine;
use crate::protos::control::QuarantineEntry;
use crate::protos::control::QuarantineUpdate;

/// How long a peer is remembered that sends nothing, in milliseconds.
const PEER_REMEMBERED_MS: u64 = 600_000;

/// A quarantine that tells each peer every change until the peer acknowledges it.
///
/// A message carries a bounded number of changes, the oldest first, and acknowledges what was taken
/// of the other side's. Lost, late and doubled messages cost a repetition at most: a change counts
/// as acknowledged only by the quarantine that took it, and a process that starts anew draws
/// another name for its own.
#[derive(Debug)]
pub struct QuarantineRelay {
    source: u32,
    quarantine: Quarantine,
    max_update_entries: usize,
    peers: HashMap<String, PeerProgress>,
}

/// How far one peer and this process know of each other.
#[derive(Debug, Clone, Copy, Default)]
struct PeerProgress {
    /// Name of the peer's quarantine.
    source: u32,
    /// Version up to which the changes of the peer were taken.
    taken_version: u64,
    /// Version up to which the peer took the changes of this process.
    acknowledged_version: u64,
    heard_ms: u64,
}

impl QuarantineRelay {
    /// Makes the relay of `quarantine` under the name `source`, which no other process uses.
    ///
    /// A message carries `max_update_entries` changes at most.
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

    /// Notes that an endpoint crashed on which exactly these contents ran.
    pub fn record_crash(&mut self, contents: &[ContentFingerprint], now_ms: u64) {
        self.quarantine.record_crash(contents, now_ms);
    }

    /// Notes that a suspect ran alone and ended well.
    pub fn record_solo_success(&mut self, content: ContentFingerprint, now_ms: u64) {
        self.quarantine.record_solo_success(content, now_ms);
    }

    /// Takes what the carrier of a request or an answer holds against its content.
    pub fn merge(&mut self, entries: &[QuarantineEntry], now_ms: u64) {
        self.quarantine.merge(entries, now_ms);
    }

    /// Returns what is held against a content.
    #[must_use]
    pub fn content_status(&self, content: ContentFingerprint, now_ms: u64) -> ContentStatus {
        self.quarantine.content_status(content, now_ms)
    }

    /// Returns the next message to `peer`, unless neither side ever had a change to tell.
    ///
    /// A process that started anew answers a peer's message even when it has nothing to tell, for
    /// its new name is what makes the peer begin at the start.
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
            acknowledged_version: progress.taken_version,
        })
    }

    /// Returns whether `peer` did not acknowledge every change yet.
    #[must_use]
    pub fn has_updates_for(&self, peer: &str) -> bool {
        let progress = self.peers.get(peer).copied().unwrap_or_default();
        progress.acknowledged_version < self.quarantine.version()
    }

    /// Takes a message of `peer`.
    pub fn apply_update(&mut self, peer: &str, news: &QuarantineUpdate, now_ms: u64) {
        self.quarantine.merge(&news.entries, now_ms);
        let progress = self.progress(peer, news.source);
        progress.heard_ms = now_ms;
        if news.since_version <= progress.taken_version {
            progress.taken_version = progress.taken_version.max(news.version);
        }
        if news.acknowledged_source == self.source {
            let acknowledged_version = news.acknowledged_version.min(self.quarantine.version());
            self.progress(peer, news.source).acknowledged_version = acknowledged_version;
        }
    }

    /// Forgets expired entries, and peers that are not heard any more.
    pub fn expire(&mut self, now_ms: u64) {
        self.quarantine.expire(now_ms);
        self.peers
            .retain(|_, progress| progress.heard_ms + PEER_REMEMBERED_MS > now_ms);
    }

    /// Returns what is known of `peer`, from the start when its quarantine is another than before.
    fn progress(&mut self, peer: &str, source: u32) -> &mut PeerProgress {
        let known = self.peers.entry(peer.to_owned()).or_default();
        if known.source != source {
            *known = PeerProgress {
                source,
                ..PeerProgress::default()
            };
        }
        known
    }
}
