//! Sends the requests of a rank actor as datagrams, and applies decisions for ranks whose agents
//! do not respond.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::MapOrder;
use crate::MapReply;
use crate::MapRequest;
use crate::RankLocation;
use crate::actor::Actor;
use crate::direct_orders;
use crate::direct_orders::EngineLink;
use crate::direct_orders::FencingToken;
use crate::event;
use crate::group_agent::EngineByAddress;
use crate::protos::control::DecideMapReply;
use crate::protos::control::DecideMapRequest;
use crate::protos::control::RankDatagram;
use crate::rank_command::MapOrigin;
use crate::rank_command::OutboundRequest;
use crate::rank_command::RankCommand;
use crate::rank_datagrams;
use crate::rank_datagrams::RankDatagrams;
use crate::rank_server;

/// Number of times a decision is sent to an agent without a reply before it is applied
/// directly at the rank's engine.
const SENDS_BEFORE_DIRECT_APPLY: u32 = 3;

/// Sends the requests of the actor to other ranks' agents, and returns those to its own rank to
/// the actor.
pub(crate) struct RankRequestSender {
    pub(crate) datagrams: RankDatagrams,
    pub(crate) actor: Actor<RankCommand>,
    pub(crate) group: String,
    pub(crate) rank: u32,
    pub(crate) peers: watch::Receiver<Vec<RankLocation>>,
    pub(crate) engine_at: Arc<EngineByAddress>,
    /// The last decision that was sent to each rank, and the number of times it was sent.
    pub(crate) decisions: HashMap<u32, (DecideMapRequest, u32)>,
}

impl RankRequestSender {
    /// Sends requests until the actor stops.
    pub(crate) async fn run(mut self, mut requests: mpsc::Receiver<OutboundRequest>) {
        while let Some(outbound) = requests.recv().await {
            self.track_decision(&outbound);
            let rank = u32::try_from(outbound.rank).unwrap_or(u32::MAX);
            if rank == self.rank {
                tokio::spawn(handle_own_request(self.actor.clone(), outbound));
                continue;
            }
            let datagram = RankDatagram {
                group: self.group.clone(),
                group_incarnation: 0,
                rank: self.rank,
                content: Some(rank_datagrams::request_content(&outbound)),
            };
            self.datagrams.send(rank, &datagram).await;
        }
    }

    /// Counts how often a decision is sent, and applies it at the engine of the rank if the rank's
    /// agent does not respond.
    ///
    /// The whole group waits for the rank until the decision takes effect there. A decision is
    /// final, so it does no harm if the agent applies it as well.
    fn track_decision(&mut self, outbound: &OutboundRequest) {
        let MapRequest::Decide(decision) = &outbound.request else {
            return;
        };
        let rank = u32::try_from(outbound.rank).unwrap_or(u32::MAX);
        let (last_decision, count) = self.decisions.entry(rank).or_insert((*decision, 0));
        let is_resend =
            last_decision.map_id == decision.map_id && last_decision.commit == decision.commit;
        *count = if is_resend { *count + 1 } else { 1 };
        *last_decision = *decision;
        if rank == self.rank || !count.is_multiple_of(SENDS_BEFORE_DIRECT_APPLY) {
            return;
        }
        let Some(agent) = self.datagrams.address(rank) else {
            return;
        };
        let peers = self.peers.borrow();
        let location = peers.iter().find(|peer| peer.agent.ip() == agent.ip());
        let Some(location) = location else {
            return;
        };
        let applier = DecisionApplier {
            rank: outbound.rank,
            origin: outbound.origin,
            decision: *decision,
            link: EngineLink::new((self.engine_at)(&location.engine)),
            actor: self.actor.clone(),
        };
        tokio::spawn(applier.run());
    }
}

/// Applies one decision directly at the engine of another rank.
struct DecisionApplier {
    rank: usize,
    origin: MapOrigin,
    decision: DecideMapRequest,
    link: EngineLink,
    actor: Actor<RankCommand>,
}

impl DecisionApplier {
    async fn run(self) {
        match self.apply().await {
            Ok(true) => {
                event!(
                    DecisionCarriedOut,
                    "rank={} map={:#x} commit={}",
                    self.rank,
                    self.decision.map_id,
                    self.decision.commit
                );
                let reply = MapReply::Decide(DecideMapReply {
                    accepted: true,
                    ..DecideMapReply::default()
                });
                let command = RankCommand::PeerReply {
                    rank: self.rank,
                    origin: self.origin,
                    reply,
                };
                if let Err(error) = self.actor.submit(command) {
                    log::warn!("reporting the decision of rank {}: {error}", self.rank);
                }
            }
            Ok(false) => log::info!(
                "rank {}: the decision is not in effect at its engine",
                self.rank
            ),
            Err(reason) => log::info!("applying a decision at rank {}: {reason}", self.rank),
        }
    }

    /// Applies the decision, and returns whether it is in effect at the engine.
    async fn apply(&self) -> Result<bool, String> {
        let map_id = self.decision.map_id;
        let report = self.link.read().await?;
        if report.group_incarnation != self.decision.group_incarnation {
            return Ok(false);
        }
        let staged = report.to_map_engine_report().staged;
        let is_staged = staged.is_some_and(|staged| staged.map_id == map_id);
        if !is_staged {
            return Ok(report.to_map_engine_report().has_committed(map_id) == self.decision.commit);
        }
        let order = if self.decision.commit {
            MapOrder::Commit { map_id }
        } else {
            MapOrder::Release { map_id }
        };
        let mut fencing = FencingToken::default();
        let after = direct_orders::execute_order(&order, &self.link, &mut fencing).await?;
        Ok(if self.decision.commit {
            after.has_committed(map_id) && !after.is_held
        } else {
            after.staged.is_none()
        })
    }
}

async fn handle_own_request(actor: Actor<RankCommand>, outbound: OutboundRequest) {
    let Ok(reply) = rank_server::handle_request(&actor, outbound.request).await else {
        return;
    };
    let command = RankCommand::PeerReply {
        rank: outbound.rank,
        origin: outbound.origin,
        reply,
    };
    if let Err(error) = actor.submit(command) {
        log::warn!("reply of the own rank: {error}");
    }
}
