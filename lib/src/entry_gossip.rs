//! Gossip between the entries of the direct path.

use std::collections::BTreeMap;
use std::collections::HashMap;

use bon::Builder;

use crate::protos::control::EndpointSlowdown;
use crate::protos::control::GossipMessage;
use crate::protos::control::GossipReport;

/// Maximum number of addresses that one message passes on.
const MAX_KNOWN_ADDRESSES: usize = 16;
/// Time for which a slowdown counts after an agent reported it. Agents repeat the report of a slow
/// engine several times within it.
const SLOWDOWN_LIFETIME_MS: u64 = 600;
/// Maximum number of slow endpoints in one report.
const MAX_REPORTED_SLOWDOWNS: usize = 32;

/// Intervals and limits of [`EntryGossip`].
#[derive(Debug, Clone, Builder)]
pub struct GossipSettings {
    /// Gossip address of this entry.
    pub own_address: String,
    /// Gossip addresses to which reports are sent even if they have never answered.
    pub seed_addresses: Vec<String>,
    /// Number of entries to which each round sends a report.
    #[builder(default = 16)]
    pub fanout: usize,
    /// Time between two rounds.
    #[builder(default = 200)]
    pub interval_ms: u64,
    /// Rounds without a report after which an entry does not count as alive.
    #[builder(default = 5)]
    pub silent_rounds: u64,
    /// Time without a report after which an entry is forgotten.
    #[builder(default = 30_000)]
    pub forget_after_ms: u64,
}

/// The view that an entry of the direct path has of the others.
///
/// Each entry sends reports on itself to the others at a fixed interval, so that no list of entries
/// is needed: a few seeds and the addresses that others pass on are enough to find all.
#[derive(Debug)]
pub struct EntryGossip {
    settings: GossipSettings,
    peers: BTreeMap<String, Peer>,
    /// Slowdown in percent of the usual time by the hash of the endpoint's address, with the time
    /// until which it counts.
    slowdowns: BTreeMap<u32, (u32, u64)>,
    /// Position from which the next round selects peers, if there are more than the fanout.
    next_peer: usize,
}

#[derive(Debug)]
struct Peer {
    report: Option<GossipReport>,
    /// Time of receipt of the newest report; for a peer that has never sent one, the time at which
    /// its address became known.
    last_contact_ms: u64,
}

impl EntryGossip {
    /// Creates the view of an entry that knows only its seeds.
    #[must_use]
    pub fn new(settings: GossipSettings) -> Self {
        let mut gossip = Self {
            settings,
            peers: BTreeMap::new(),
            slowdowns: BTreeMap::new(),
            next_peer: 0,
        };
        gossip.add_seeds(0);
        gossip
    }

    /// Merges a message; a report older than the last one of the same entry is ignored.
    pub fn receive(&mut self, message: &GossipMessage, now_ms: u64) {
        for address in &message.known_addresses {
            self.add_peer(address, now_ms);
        }
        for slowdown in &message.paces {
            let until_ms = now_ms + SLOWDOWN_LIFETIME_MS;
            self.slowdowns
                .insert(slowdown.endpoint, (slowdown.percent, until_ms));
        }
        let Some(report) = &message.word else {
            return;
        };
        if report.gossip_address == self.settings.own_address {
            return;
        }
        let silent_after_ms = self.silent_after_ms();
        let peer = self
            .peers
            .entry(report.gossip_address.clone())
            .or_insert_with(|| Peer::new(now_ms));
        if peer.is_newer(report, now_ms, silent_after_ms) {
            peer.report = Some(report.clone());
            peer.last_contact_ms = now_ms;
        }
    }

    /// Starts a round: returns the gossip addresses to which reports are sent now.
    pub fn start_round(&mut self, now_ms: u64) -> Vec<String> {
        self.remove_expired(now_ms);
        self.add_seeds(now_ms);
        let count = self.peers.len();
        let targets = count.min(self.settings.fanout);
        let addresses = self.peers.keys().cycle().skip(self.next_peer).take(targets);
        let addresses = addresses.cloned().collect();
        self.next_peer = (self.next_peer + targets) % count.max(1);
        addresses
    }

    /// Returns the gossip addresses of live entries to pass on, without this one.
    #[must_use]
    pub fn known_addresses(&self, now_ms: u64) -> Vec<String> {
        let live = self.live(now_ms);
        let addresses = live.map(|report| report.gossip_address.clone());
        addresses.take(MAX_KNOWN_ADDRESSES).collect()
    }

    /// Returns the last reports of the entries that are alive.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &GossipReport> {
        let silent_after_ms = self.silent_after_ms();
        let peers = self.peers.values();
        let live =
            peers.filter(move |peer| now_ms.saturating_sub(peer.last_contact_ms) < silent_after_ms);
        live.filter_map(|peer| peer.report.as_ref())
    }

    /// Returns the live entries that take new work.
    pub fn serving(&self, now_ms: u64) -> impl Iterator<Item = &GossipReport> {
        self.live(now_ms).filter(|report| report.serves)
    }

    /// Returns the slow endpoints that agents have reported to this entry.
    #[must_use]
    pub fn own_slowdowns(&self, now_ms: u64) -> Vec<EndpointSlowdown> {
        let live = self
            .slowdowns
            .iter()
            .filter(|(_, (_, until_ms))| now_ms < *until_ms);
        let slowdowns = live.map(|(endpoint, (percent, _))| EndpointSlowdown {
            endpoint: *endpoint,
            percent: *percent,
        });
        slowdowns.take(MAX_REPORTED_SLOWDOWNS).collect()
    }

    /// Returns the slow endpoints that agents have reported to this or another live entry, with
    /// their time in percent of the usual time, by the hash of their address.
    #[must_use]
    pub fn slowdowns(&self, now_ms: u64) -> HashMap<u32, u32> {
        let reported = self.live(now_ms).flat_map(|report| report.paces.clone());
        let slowdowns = reported.chain(self.own_slowdowns(now_ms));
        slowdowns
            .map(|slowdown| (slowdown.endpoint, slowdown.percent))
            .collect()
    }

    /// Returns the live entry with the newest configuration, if it is newer than `revision`.
    #[must_use]
    pub fn newer_config(&self, revision: u64, now_ms: u64) -> Option<&GossipReport> {
        let newest = self
            .live(now_ms)
            .max_by_key(|report| report.config_revision)?;
        (newest.config_revision > revision).then_some(newest)
    }

    /// Returns the time without a report after which an entry does not count as alive. If there are
    /// more entries than the fanout, each receives a report only in every second or third round.
    fn silent_after_ms(&self) -> u64 {
        let settings = &self.settings;
        let rounds = self.peers.len().div_ceil(settings.fanout.max(1)).max(1);
        let rounds = u64::try_from(rounds).unwrap_or(u64::MAX);
        settings.interval_ms * settings.silent_rounds * rounds
    }

    fn add_seeds(&mut self, now_ms: u64) {
        for address in self.settings.seed_addresses.clone() {
            self.add_peer(&address, now_ms);
        }
    }

    fn add_peer(&mut self, address: &str, now_ms: u64) {
        if address == self.settings.own_address || self.peers.contains_key(address) {
            return;
        }
        self.peers.insert(address.to_owned(), Peer::new(now_ms));
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let forget_after_ms = self.settings.forget_after_ms;
        self.slowdowns.retain(|_, (_, until_ms)| now_ms < *until_ms);
        self.peers
            .retain(|_, peer| now_ms.saturating_sub(peer.last_contact_ms) < forget_after_ms);
    }
}

impl Peer {
    fn new(now_ms: u64) -> Self {
        Self {
            report: None,
            last_contact_ms: now_ms,
        }
    }

    /// Returns whether `report` replaces the last one.
    ///
    /// A report from another run of the process counts if that run is a later one, or if the known
    /// run is silent: the incarnation decreases if the clock of the VM was set back.
    fn is_newer(&self, report: &GossipReport, now_ms: u64, silent_after_ms: u64) -> bool {
        let Some(known) = &self.report else {
            return true;
        };
        if report.incarnation == known.incarnation {
            return report.sequence > known.sequence;
        }
        let is_silent = now_ms.saturating_sub(self.last_contact_ms) >= silent_after_ms;
        report.incarnation > known.incarnation || is_silent
    }
}
