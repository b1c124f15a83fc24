//! What an entry of the direct path knows of the others, by their datagrams.

use std::collections::BTreeMap;
use std::collections::HashMap;

use bon::Builder;

use crate::protos::control::EndpointSlowdown;
use crate::protos::control::GossipMessage;
use crate::protos::control::GossipWord;

/// Addresses that one message passes on at most.
const MAX_KNOWN_ADDRESSES: usize = 16;
/// Time for which the pace counts that an agent told; slow engines are told of several times in it.
const PACE_LIFETIME_MS: u64 = 600;
/// Slow endpoints that a word names at most.
const MAX_TOLD_PACES: usize = 32;

/// Pace and bounds of [`EntryGossip`].
#[derive(Debug, Clone, Builder)]
pub struct GossipSettings {
    /// Address of this entry for datagrams.
    pub own_address: String,
    /// Addresses that are told even when they have never answered.
    pub seed_addresses: Vec<String>,
    /// Entries that hear of each round.
    #[builder(default = 16)]
    pub fanout: usize,
    /// Time between two rounds.
    #[builder(default = 200)]
    pub interval_ms: u64,
    /// Rounds without a word after which an entry does not count as alive.
    #[builder(default = 5)]
    pub silent_rounds: u64,
    /// Time without a word after which an entry is forgotten.
    #[builder(default = 30_000)]
    pub forget_after_ms: u64,
}

/// What an entry of the direct path knows of the others.
///
/// Each entry tells the others of itself at a steady pace, so that nobody needs a list of entries;
/// a few seeds and the addresses that others pass on are enough to find all.
#[derive(Debug)]
pub struct EntryGossip {
    settings: GossipSettings,
    peers: BTreeMap<String, Peer>,
    /// Slow endpoints by the hash of their address, and until when their pace counts.
    paces: BTreeMap<u32, (u32, u64)>,
    /// Position in the round over more peers than hear of one round.
    next_peer: usize,
}

#[derive(Debug)]
struct Peer {
    word: Option<GossipWord>,
    /// When a new word came; for a peer that has never spoken, when it was first heard of.
    heard_ms: u64,
}

impl EntryGossip {
    /// Makes the view of an entry that has heard of its seeds only.
    #[must_use]
    pub fn new(settings: GossipSettings) -> Self {
        let mut gossip = Self {
            settings,
            peers: BTreeMap::new(),
            paces: BTreeMap::new(),
            next_peer: 0,
        };
        gossip.learn_seeds(0);
        gossip
    }

    /// Takes in a message; a word older than the last one of its entry is ignored.
    pub fn take(&mut self, message: &GossipMessage, now_ms: u64) {
        for address in &message.known_addresses {
            self.learn(address, now_ms);
        }
        for pace in &message.paces {
            let until_ms = now_ms + PACE_LIFETIME_MS;
            self.paces.insert(pace.endpoint, (pace.percent, until_ms));
        }
        let Some(word) = &message.word else {
            return;
        };
        if word.gossip_address == self.settings.own_address {
            return;
        }
        let silent_after_ms = self.silent_after_ms();
        let peer = self
            .peers
            .entry(word.gossip_address.clone())
            .or_insert_with(|| Peer::new(now_ms));
        if peer.is_news(word, now_ms, silent_after_ms) {
            peer.word = Some(word.clone());
            peer.heard_ms = now_ms;
        }
    }

    /// Starts a round: returns the addresses that are told now.
    pub fn round(&mut self, now_ms: u64) -> Vec<String> {
        self.forget(now_ms);
        self.learn_seeds(now_ms);
        let count = self.peers.len();
        let told = count.min(self.settings.fanout);
        let addresses = self.peers.keys().cycle().skip(self.next_peer).take(told);
        let addresses = addresses.cloned().collect();
        self.next_peer = (self.next_peer + told) % count.max(1);
        addresses
    }

    /// Returns the addresses of all entries that were heard of late, this one excluded.
    #[must_use]
    pub fn known_addresses(&self, now_ms: u64) -> Vec<String> {
        let live = self.live(now_ms);
        let addresses = live.map(|word| word.gossip_address.clone());
        addresses.take(MAX_KNOWN_ADDRESSES).collect()
    }

    /// Returns the last words of the entries that are alive.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &GossipWord> {
        let silent_after_ms = self.silent_after_ms();
        let peers = self.peers.values();
        let live = peers.filter(move |peer| now_ms.saturating_sub(peer.heard_ms) < silent_after_ms);
        live.filter_map(|peer| peer.word.as_ref())
    }

    /// Returns the live entries that take new work.
    pub fn serving(&self, now_ms: u64) -> impl Iterator<Item = &GossipWord> {
        self.live(now_ms).filter(|word| word.serves)
    }

    /// Returns the slow endpoints that agents have told this entry of.
    #[must_use]
    pub fn own_paces(&self, now_ms: u64) -> Vec<EndpointSlowdown> {
        let live = self
            .paces
            .iter()
            .filter(|(_, (_, until_ms))| now_ms < *until_ms);
        let paces = live.map(|(endpoint, (percent, _))| EndpointSlowdown {
            endpoint: *endpoint,
            percent: *percent,
        });
        paces.take(MAX_TOLD_PACES).collect()
    }

    /// Returns the paces of the slow endpoints that this or another live entry was told of, in
    /// percent of the usual time, by the hash of their address.
    #[must_use]
    pub fn paces(&self, now_ms: u64) -> HashMap<u32, u32> {
        let told = self.live(now_ms).flat_map(|word| word.paces.clone());
        let paces = told.chain(self.own_paces(now_ms));
        paces.map(|pace| (pace.endpoint, pace.percent)).collect()
    }

    /// Returns the live entry with the newest configuration, if it is newer than `revision`.
    #[must_use]
    pub fn newer_config(&self, revision: u64, now_ms: u64) -> Option<&GossipWord> {
        let newest = self.live(now_ms).max_by_key(|word| word.config_revision)?;
        (newest.config_revision > revision).then_some(newest)
    }

    /// Time without a word after which an entry does not count as alive. More entries than hear of
    /// one round hear of every second or third one.
    fn silent_after_ms(&self) -> u64 {
        let settings = &self.settings;
        let rounds = self.peers.len().div_ceil(settings.fanout.max(1)).max(1);
        let rounds = u64::try_from(rounds).unwrap_or(u64::MAX);
        settings.interval_ms * settings.silent_rounds * rounds
    }

    fn learn_seeds(&mut self, now_ms: u64) {
        for address in self.settings.seed_addresses.clone() {
            self.learn(&address, now_ms);
        }
    }

    fn learn(&mut self, address: &str, now_ms: u64) {
        if address == self.settings.own_address || self.peers.contains_key(address) {
            return;
        }
        self.peers.insert(address.to_owned(), Peer::new(now_ms));
    }

    fn forget(&mut self, now_ms: u64) {
        let forget_after_ms = self.settings.forget_after_ms;
        self.paces.retain(|_, (_, until_ms)| now_ms < *until_ms);
        self.peers
            .retain(|_, peer| now_ms.saturating_sub(peer.heard_ms) < forget_after_ms);
    }
}

impl Peer {
    fn new(now_ms: u64) -> Self {
        Self {
            word: None,
            heard_ms: now_ms,
        }
    }

    /// A word of another run counts when it is of a later one, or the run before has fallen
    /// silent: the number of a run falls when the clock of its VM was set back.
    fn is_news(&self, word: &GossipWord, now_ms: u64, silent_after_ms: u64) -> bool {
        let Some(before) = &self.word else {
            return true;
        };
        if word.incarnation == before.incarnation {
            return word.sequence > before.sequence;
        }
        let is_silent = now_ms.saturating_sub(self.heard_ms) >= silent_after_ms;
        word.incarnation > before.incarnation || is_silent
    }
}
