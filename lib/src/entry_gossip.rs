//! Gossip between the entries of the direct path.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use bon::Builder;

use crate::DemandInterval;
use crate::LimitDivision;
use crate::as_f64::as_f64;
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
/// Time after which the permits of limits move to other entries.
const LIMIT_TURN_MS: u64 = 60_000;
/// Time for which the largest number of entries counts that was seen at once. Entries that are cut off from
/// each other may still send calls.
const FLEET_SIZE_KEPT_MS: u64 = 600_000;
/// Number of entries, the first by address, whose demand all others count. Those beyond them count
/// no other demand: if they did, calls would wait that endpoints could take (KNOWN-RED.txt).
const COUNTED_DEMANDS: usize = 17;

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
    /// Position from which the next round passes on addresses, if there are more than one message holds.
    next_known: usize,
    /// Latest turn of the division of limits; all entries follow the highest one.
    limit_turn: u64,
    limit_turn_since_ms: u64,
    /// Largest number of entries that was seen at once, and when.
    largest_fleet: (usize, u64),
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
            next_known: 0,
            limit_turn: 0,
            limit_turn_since_ms: 0,
            largest_fleet: (1, 0),
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
        if report.limit_turn > self.limit_turn {
            self.set_limit_turn(report.limit_turn, now_ms);
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
        self.update_largest_fleet(now_ms);
        if now_ms.saturating_sub(self.limit_turn_since_ms) >= LIMIT_TURN_MS {
            self.set_limit_turn(self.limit_turn + 1, now_ms);
        }
        let count = self.peers.len();
        let targets = count.min(self.settings.fanout);
        let addresses = self.peers.keys().cycle().skip(self.next_peer).take(targets);
        let addresses = addresses.cloned().collect();
        self.next_peer = (self.next_peer + targets) % count.max(1);
        self.next_known = (self.next_known + MAX_KNOWN_ADDRESSES) % count.max(1);
        addresses
    }

    /// Returns the gossip addresses of live entries to pass on in this round, without this one; in a
    /// large fleet others in each round.
    #[must_use]
    pub fn known_addresses(&self, now_ms: u64) -> Vec<String> {
        let live: Vec<&GossipReport> = self.live(now_ms).collect();
        let passed_on = live.len().min(MAX_KNOWN_ADDRESSES);
        let turn = live.iter().cycle().skip(self.next_known).take(passed_on);
        turn.map(|report| report.gossip_address.clone()).collect()
    }

    /// Returns the last reports of the entries that are alive.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &GossipReport> {
        let reports = self.reports(now_ms);
        reports.filter_map(|(is_live, report)| is_live.then_some(report))
    }

    /// Returns the last reports of all known entries, and whether they are alive.
    fn reports(&self, now_ms: u64) -> impl Iterator<Item = (bool, &GossipReport)> {
        let silent_after_ms = self.silent_after_ms();
        let peers = self.peers.values();
        peers.filter_map(move |peer| {
            let is_live = !peer.is_silent(now_ms, silent_after_ms);
            Some((is_live, peer.report.as_ref()?))
        })
    }

    /// Returns the live entries that take new work.
    pub fn serving(&self, now_ms: u64) -> impl Iterator<Item = &GossipReport> {
        self.live(now_ms).filter(|report| report.serves)
    }

    /// Returns the last reports of the live entries whose demand this entry counts when it divides the
    /// slots of endpoints.
    pub fn counted_demands(&self, now_ms: u64) -> impl Iterator<Item = &GossipReport> {
        let own_address = self.settings.own_address.as_str();
        let before = self.live(now_ms);
        let before = before.filter(|report| report.gossip_address.as_str() < own_address);
        let counted = if before.count() < COUNTED_DEMANDS {
            usize::MAX
        } else {
            COUNTED_DEMANDS
        };
        self.live(now_ms).take(counted)
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

    /// Returns the latest turn of the division of limits.
    #[must_use]
    pub fn limit_turn(&self) -> u64 {
        self.limit_turn
    }

    /// Returns how the entries divide the limits of endpoints; `own` is this entry's latest report.
    #[must_use]
    pub fn limit_division(&self, own: &GossipReport, now_ms: u64) -> LimitDivision {
        let sharing: Vec<&GossipReport> = self.sharing(now_ms).chain([own]).collect();
        let demands = sharing.iter().flat_map(|report| &report.demands);
        let reported = demands.filter(|demand| demand.new_calls_per_10_s.is_some());
        let services: BTreeSet<u32> = reported.map(|demand| demand.service).collect();
        let interval = |service: Option<u32>| {
            let reports = sharing.iter();
            let demands = reports.map(|report| {
                let new_calls = service.and_then(|service| new_calls(report, service));
                (report.gossip_address.as_str(), new_calls)
            });
            DemandInterval::of(&own.gossip_address, &demands.collect::<Vec<_>>())
        };
        let by_service = services.iter();
        LimitDivision {
            turn: self.limit_turn,
            demand_by_service: by_service
                .map(|service| (*service, interval(Some(*service))))
                .collect(),
            even_demand: interval(None),
            entry_share: self.entry_share(sharing.len()),
            settle_rounds: u32::try_from(self.silent_rounds()).unwrap_or(u32::MAX),
        }
    }

    /// Returns this entry's part of what `entries` entries may do equally often. An entry that knows of
    /// others and has heard none has no part.
    fn entry_share(&self, entries: usize) -> f64 {
        let mut peers = self.peers.values();
        if !self.peers.is_empty() && peers.all(|peer| peer.report.is_none()) {
            return 0.0;
        }
        1.0 / as_f64(entries.max(self.largest_fleet.0))
    }

    fn update_largest_fleet(&mut self, now_ms: u64) {
        let entries = self.sharing(now_ms).count() + 1;
        let (largest, seen_ms) = self.largest_fleet;
        if entries >= largest || now_ms.saturating_sub(seen_ms) >= FLEET_SIZE_KEPT_MS {
            self.largest_fleet = (entries, now_ms);
        }
    }

    /// Returns the other entries that use a part of the limits of endpoints.
    ///
    /// An entry that falls silent is left out while most others are heard. An entry that hears few of
    /// the others is more likely to be cut off itself, and leaves them their parts.
    fn sharing(&self, now_ms: u64) -> impl Iterator<Item = &GossipReport> {
        let counted = || {
            let reports = self.reports(now_ms);
            reports.filter(|(is_live, report)| *is_live || report.serves)
        };
        let live_count = self.live(now_ms).count() + 1;
        let hears_most = 2 * live_count > counted().count() + 1;
        counted()
            .filter(move |(is_live, _)| *is_live || !hears_most)
            .map(|(_, report)| report)
    }

    fn set_limit_turn(&mut self, turn: u64, now_ms: u64) {
        self.limit_turn = turn;
        self.limit_turn_since_ms = now_ms;
    }

    /// Returns the time without a report after which an entry does not count as alive.
    fn silent_after_ms(&self) -> u64 {
        self.settings.interval_ms * self.silent_rounds()
    }

    /// Returns the rounds without a report after which an entry does not count as alive. If there are
    /// more entries than the fanout, each receives a report only in every second or third round.
    fn silent_rounds(&self) -> u64 {
        let settings = &self.settings;
        let rounds = self.peers.len().div_ceil(settings.fanout.max(1)).max(1);
        let rounds = u64::try_from(rounds).unwrap_or(u64::MAX);
        settings.silent_rounds * rounds
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

/// Returns the new calls for a service that an entry reports.
fn new_calls(report: &GossipReport, service: u32) -> Option<u32> {
    let mut demands = report.demands.iter();
    let demand = demands.find(|demand| demand.service == service)?;
    demand.new_calls_per_10_s
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
        report.incarnation > known.incarnation || self.is_silent(now_ms, silent_after_ms)
    }

    /// Returns whether the last report of the entry is so old that it does not count as alive.
    fn is_silent(&self, now_ms: u64, silent_after_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_contact_ms) >= silent_after_ms
    }
}
