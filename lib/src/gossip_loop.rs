//! The datagrams by which entries of the direct path know each other.

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
use crate::OthersDemand;
use crate::direct_duty::DirectCommand;
use crate::direct_duty::OwnDemand;
use crate::protos::control::GossipDemand;
use crate::protos::control::GossipMessage;
use crate::protos::control::GossipReport;
use crate::short_hash::short_hash;

const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Endpoints with calls that a word names at most.
const MAX_TOLD_ENDPOINTS: usize = 64;

/// What other entries said last, for those who answer requests.
#[derive(Debug, Default)]
pub(crate) struct KnownEntries {
    /// Addresses for callers of the other entries that take new work.
    pub(crate) caller_addresses: Vec<String>,
    /// Control address of an entry with a newer configuration.
    pub(crate) newer_config_at: Option<String>,
    /// Control addresses of entries that hear from the platform.
    pub(crate) following_at: Vec<String>,
}

/// Tells the other entries of this one, and listens to them, until the process ends.
pub(crate) struct GossipLoop {
    pub(crate) entry: DirectEntry,
    pub(crate) socket: UdpSocket,
    pub(crate) gossip: EntryGossip,
    pub(crate) interval: Duration,
    pub(crate) word: GossipReport,
    pub(crate) known: Arc<ArcSwap<KnownEntries>>,
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
                    Ok((length, _)) => self.take(&buffer[..length]),
                    Err(error) => log::debug!("datagram: {error}"),
                },
                _ = rounds.tick() => self.round().await,
                changed = draining.changed(), if !was_draining => {
                    was_draining = true;
                    if changed.is_ok() {
                        self.round().await;
                    }
                }
            }
        }
    }

    fn take(&mut self, bytes: &[u8]) {
        match GossipMessage::decode(bytes) {
            Ok(message) => {
                let crashes = message.word.as_ref().map(|word| &word.crashing_contents);
                self.entry
                    .crashes()
                    .merge(crashes.map_or(&[], Vec::as_slice));
                self.gossip.receive(&message, self.entry.clock().now_ms());
            }
            Err(error) => log::debug!("datagram: {error}"),
        }
    }

    async fn round(&mut self) {
        let now_ms = self.entry.clock().now_ms();
        self.publish(now_ms);
        self.tell_dispatch(now_ms);
        let demand = self.own_demand().await;
        self.word.sequence += 1;
        self.word.serves = self.entry.is_ready();
        self.word.config_revision = self.entry.revision().unwrap_or(0);
        self.word.follows_platform = self.entry.endpoints().follows_platform();
        self.word.demands = demands(&demand);
        self.word.paces = self.gossip.own_slowdowns(now_ms);
        self.word.crashing_contents = self.entry.crashes().news();
        let message = GossipMessage {
            word: Some(self.word.clone()),
            known_addresses: self.gossip.known_addresses(now_ms),
            paces: Vec::new(),
        };
        let bytes = message.encode_to_vec();
        for address in self.gossip.round(now_ms) {
            if let Err(error) = self.socket.send_to(&bytes, &address).await {
                log::debug!("datagram to {address}: {error}");
            }
        }
    }

    /// Makes what is known of the others visible to the handlers of requests.
    fn publish(&self, now_ms: u64) {
        let serving = self.gossip.serving(now_ms);
        let revision = self.entry.revision().unwrap_or(0);
        let newer = self.gossip.newer_config(revision, now_ms);
        let following = self
            .gossip
            .live(now_ms)
            .filter(|word| word.follows_platform);
        self.known.store(Arc::new(KnownEntries {
            caller_addresses: serving.map(|word| word.caller_address.clone()).collect(),
            newer_config_at: newer.map(|word| word.control_address.clone()),
            following_at: following.map(|word| word.control_address.clone()).collect(),
        }));
    }

    /// Tells the dispatch what the other entries have in hand.
    fn tell_dispatch(&self, now_ms: u64) {
        let entries = self.gossip.serving(now_ms).count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let mut others: HashMap<u32, OthersDemand> = HashMap::new();
        for word in self.gossip.live(now_ms) {
            for told in &word.demands {
                let demand = others.entry(told.service).or_default();
                demand.calls += told.calls;
                for (endpoint, calls) in told.endpoints.iter().zip(&told.endpoint_calls) {
                    *demand.by_endpoint.entry(*endpoint).or_default() += calls;
                }
            }
        }
        self.entry.submit(DirectCommand::Others {
            entries,
            others,
            paces: self.gossip.slowdowns(now_ms),
        });
    }

    async fn own_demand(&self) -> OwnDemand {
        let (reply, answer) = oneshot::channel();
        self.entry.submit(DirectCommand::Demand { reply });
        answer.await.unwrap_or_default()
    }
}

fn demands(demand: &OwnDemand) -> Vec<GossipDemand> {
    let services = demand.by_service.iter();
    let busy = services.filter(|(_, service)| service.calls > 0);
    let told = busy.map(|(name, service)| {
        let endpoints = service.by_endpoint.iter().take(MAX_TOLD_ENDPOINTS);
        let (endpoints, endpoint_calls) = endpoints
            .map(|(id, calls)| (short_hash(id), *calls))
            .unzip();
        GossipDemand {
            service: short_hash(name),
            calls: service.calls,
            endpoints,
            endpoint_calls,
        }
    });
    told.collect()
}
