//! Gossip datagrams between the entries of the direct path.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::DirectEntry;
use crate::EntryGossip;
use crate::PeerDemand;
use crate::direct_actor::DirectCommand;
use crate::direct_actor::LocalDemand;
use crate::direct_actor::ServiceDemand;
use crate::protos::control::GossipDemand;
use crate::protos::control::GossipMessage;
use crate::protos::control::GossipReport;
use crate::short_hash::short_hash;

const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Maximum number of endpoints per service in a report.
const MAX_ENDPOINTS_PER_DEMAND: usize = 64;
/// Numbers of limits in a report, and in the reports of all entries of one round.
const MAX_LIMITS_PER_REPORT: usize = 32;
const MIN_LIMITS_PER_REPORT: usize = 2;
const MAX_LIMITS_OF_ALL_REPORTS: usize = 512;

/// The view of the other entries that gossip publishes for other tasks of the process.
#[derive(Debug, Default)]
pub(crate) struct GossipView {
    /// Caller addresses of the other entries that take new work.
    pub(crate) caller_addresses: Vec<String>,
    /// Control address of an entry with a newer configuration.
    pub(crate) newer_config_address: Option<String>,
    /// Control addresses of the entries that can read the platform.
    pub(crate) platform_follower_addresses: Vec<String>,
}

/// Sends reports to the other entries, and receives theirs, until the process ends.
pub(crate) struct GossipLoop {
    pub(crate) entry: DirectEntry,
    pub(crate) socket: UdpSocket,
    pub(crate) gossip: EntryGossip,
    pub(crate) interval: Duration,
    /// The next report of this entry; each round updates it.
    pub(crate) report: GossipReport,
    pub(crate) view: Arc<ArcSwap<GossipView>>,
}

impl GossipLoop {
    pub(crate) async fn run(mut self) {
        let mut rounds = tokio::time::interval(self.interval);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut draining = self.entry.draining();
        let mut was_draining = false;
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => self.receive(&buffer[..length]),
                    Err(error) => log::debug!("gossip datagram was not received: {error}"),
                },
                _ = rounds.tick() => self.send_round().await,
                changed = draining.changed(), if !was_draining => {
                    was_draining = true;
                    if changed.is_ok() {
                        self.send_round().await;
                    }
                }
            }
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        match GossipMessage::decode(bytes) {
            Ok(message) => {
                let now_ms = self.entry.clock().now_ms();
                if let Some(report) = &message.word {
                    self.pass_on_limits(report);
                    let reports = &report.crash_suspects;
                    let tracker = self.entry.crash_tracker();
                    tracker.merge(reports, &report.gossip_address);
                }
                self.gossip.receive(&message, now_ms);
                // Callers must not be sent to an entry that has begun to drain until the next round.
                if message.word.is_some_and(|report| !report.serves) {
                    self.publish(now_ms);
                }
            }
            Err(error) => log::debug!("gossip datagram is malformed: {error}"),
        }
    }

    /// Passes what another entry knows of limits to the dispatcher.
    fn pass_on_limits(&self, report: &GossipReport) {
        if report.limits.is_empty() || report.gossip_address == self.report.gossip_address {
            return;
        }
        self.entry.submit(DirectCommand::PeerLimits {
            address: report.gossip_address.clone(),
            reports: report.limits.clone(),
        });
    }

    async fn send_round(&mut self) {
        let now_ms = self.entry.clock().now_ms();
        self.publish(now_ms);
        self.send_peer_demand(now_ms);
        let entry_count = self.gossip.live(now_ms).count();
        let demand = self.own_demand(entry_count).await;
        self.report.sequence += 1;
        self.report.serves = self.entry.is_ready();
        self.report.config_revision = self.entry.revision().unwrap_or(0);
        self.report.follows_platform = self.entry.endpoints().follows_platform();
        self.report.demands = to_gossip_demands(&demand);
        self.report.paces = self.gossip.own_slowdowns(now_ms);
        self.report.limits = demand.limits;
        self.report.limit_turn = self.gossip.limit_turn();
        self.report.crash_suspects = self.entry.crash_tracker().reports(entry_count);
        let message = GossipMessage {
            word: Some(self.report.clone()),
            known_addresses: self.gossip.known_addresses(now_ms),
            paces: Vec::new(),
        };
        let bytes = message.encode_to_vec();
        for address in self.gossip.start_round(now_ms) {
            if let Err(error) = self.socket.send_to(&bytes, &address).await {
                log::debug!("gossip datagram to {address} was not sent: {error}");
            }
        }
    }

    /// Publishes the current view of the other entries to the other tasks of the process.
    fn publish(&self, now_ms: u64) {
        let serving = self.gossip.serving(now_ms);
        let caller_addresses: Vec<String> = serving
            .map(|report| report.caller_address.clone())
            .collect();
        self.entry.set_serving_peers(!caller_addresses.is_empty());
        let revision = self.entry.revision().unwrap_or(0);
        let newer = self.gossip.newer_config(revision, now_ms);
        let following = self
            .gossip
            .live(now_ms)
            .filter(|report| report.follows_platform);
        self.view.store(Arc::new(GossipView {
            caller_addresses,
            newer_config_address: newer.map(|report| report.control_address.clone()),
            platform_follower_addresses: following
                .map(|report| report.control_address.clone())
                .collect(),
        }));
    }

    /// Sends the dispatcher the demand that the other entries report.
    fn send_peer_demand(&self, now_ms: u64) {
        let counted = self.gossip.counted_demands(now_ms);
        let entries = counted.filter(|report| report.serves).count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let mut others: HashMap<u32, PeerDemand> = HashMap::new();
        for report in self.gossip.counted_demands(now_ms) {
            for demand_report in &report.demands {
                let demand = others.entry(demand_report.service).or_default();
                demand.calls += demand_report.calls;
                for (endpoint, calls) in demand_report
                    .endpoints
                    .iter()
                    .zip(&demand_report.endpoint_calls)
                {
                    *demand.by_endpoint.entry(*endpoint).or_default() += calls;
                }
            }
        }
        self.entry.submit(DirectCommand::Peers {
            peer_count: entries,
            demand_by_service: others,
            slowdowns: self.gossip.slowdowns(now_ms),
            division: self.gossip.limit_division(&self.report, now_ms),
        });
    }

    /// Returns the demand of this entry and what it knows of limits, fewer of them in a large fleet.
    async fn own_demand(&self, entry_count: usize) -> LocalDemand {
        let most_limits = MAX_LIMITS_OF_ALL_REPORTS / entry_count.max(1);
        let (reply, answer) = oneshot::channel();
        self.entry.submit(DirectCommand::Demand {
            most_limits: most_limits.clamp(MIN_LIMITS_PER_REPORT, MAX_LIMITS_PER_REPORT),
            reply,
        });
        answer.await.unwrap_or_default()
    }
}

fn to_gossip_demands(demand: &LocalDemand) -> Vec<GossipDemand> {
    let services = demand.by_service.iter();
    let is_reported =
        |service: &ServiceDemand| service.calls > 0 || service.new_calls_per_10_s.is_some();
    let busy = services.filter(|(_, service)| is_reported(service));
    let messages = busy.map(|(name, service)| {
        let endpoints = service.by_endpoint.iter().take(MAX_ENDPOINTS_PER_DEMAND);
        let (endpoints, endpoint_calls) = endpoints
            .map(|(id, calls)| (short_hash(id), *calls))
            .unzip();
        GossipDemand {
            service: short_hash(name),
            calls: service.calls,
            endpoints,
            endpoint_calls,
            new_calls_per_10_s: service.new_calls_per_10_s,
        }
    });
    messages.collect()
}
