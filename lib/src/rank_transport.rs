//! Tasks that send a rank actor's orders to its engine and its requests to the ranks' agents.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tonic::Status;

use crate::MapOrder;
use crate::MapReply;
use crate::MapRequest;
use crate::RankAddress;
use crate::actor::Actor;
use crate::agent_channels::AgentChannels;
use crate::event;
use crate::protos::control::rank_group_client::RankGroupClient;
use crate::rank_command::OutboundRequest;
use crate::rank_command::RankCommand;
use crate::rank_engine_client::RankEngineClient;
use crate::rank_engine_client::RankEngineError;
use crate::rank_server;

const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REQUESTS_IN_FLIGHT: usize = 1024;

/// Clients of the agents of all ranks of a group.
#[derive(Clone)]
pub(crate) struct RankPeers {
    pub(crate) channels: AgentChannels,
    pub(crate) group: String,
    /// Socket addresses of the ranks' agents, by rank.
    pub(crate) agent_addresses: Arc<Vec<String>>,
    pub(crate) own_rank: usize,
    pub(crate) actor: Actor<RankCommand>,
}

impl RankPeers {
    /// Sends a request to the agent of a rank and returns the reply; a request to the own rank
    /// goes directly to the actor.
    pub(crate) async fn send_request(
        &self,
        rank: usize,
        request: MapRequest,
    ) -> Result<MapReply, Status> {
        let reply = self.send_request_without_timeout(rank, request);
        tokio::time::timeout(REPLY_TIMEOUT, reply)
            .await
            .unwrap_or_else(|_| Err(Status::deadline_exceeded("the rank did not answer in time")))
    }

    async fn send_request_without_timeout(
        &self,
        rank: usize,
        request: MapRequest,
    ) -> Result<MapReply, Status> {
        if rank == self.own_rank {
            return rank_server::handle_request(&self.actor, request).await;
        }
        let mut client = self.client(rank)?;
        self.address(rank).send_request(&mut client, request).await
    }

    /// Returns a client of a rank's agent.
    pub(crate) fn client(
        &self,
        rank: usize,
    ) -> Result<RankGroupClient<tonic::transport::Channel>, Status> {
        let address = self
            .agent_addresses
            .get(rank)
            .ok_or_else(|| Status::invalid_argument(format!("the group has no rank {rank}")))?;
        Ok(RankGroupClient::new(self.channels.get(address)?))
    }

    /// Returns the address of a rank of this agent's group.
    pub(crate) fn address(&self, rank: usize) -> RankAddress {
        RankAddress {
            group: self.group.clone(),
            rank,
            rank_count: self.rank_count(),
        }
    }

    /// Returns the number of ranks in the group.
    pub(crate) fn rank_count(&self) -> usize {
        self.agent_addresses.len()
    }
}

/// Sends the actor's requests until the agent shuts down and passes the replies to the actor.
///
/// A request above the limit of requests in flight is dropped; the actor sends it again later.
pub(crate) async fn send_requests(
    mut requests: mpsc::Receiver<OutboundRequest>,
    peers: RankPeers,
    mut closing: watch::Receiver<bool>,
) {
    let in_flight = Arc::new(Semaphore::new(MAX_REQUESTS_IN_FLIGHT));
    loop {
        let outbound = tokio::select! {
            outbound = requests.recv() => outbound,
            _ = closing.wait_for(|closing| *closing) => None,
        };
        let Some(outbound) = outbound else {
            return;
        };
        let Ok(permit) = Arc::clone(&in_flight).try_acquire_owned() else {
            log::debug!(
                "request to rank {} dropped: too many in flight",
                outbound.rank
            );
            continue;
        };
        let peers = peers.clone();
        tokio::spawn(async move {
            deliver(outbound, &peers).await;
            drop(permit);
        });
    }
}

async fn deliver(outbound: OutboundRequest, peers: &RankPeers) {
    let rank = outbound.rank;
    match peers.send_request(rank, outbound.request).await {
        Ok(reply) => {
            let reply = RankCommand::PeerReply {
                rank,
                origin: outbound.origin,
                reply,
            };
            peers.actor.submit_when_free(reply).await;
        }
        Err(status) => log::debug!("request to rank {rank}: {}", status.message()),
    }
}

/// Sends orders to the engine one after another until the agent shuts down, and passes the
/// engine's reports to the actor.
///
/// Each agent process uses a fencing token above the highest one that the engine has seen. An
/// engine that checks tokens therefore rejects delayed orders of earlier processes.
pub(crate) async fn send_orders(
    mut orders: mpsc::Receiver<MapOrder>,
    engine: RankEngineClient,
    actor: Actor<RankCommand>,
    mut closing: watch::Receiver<bool>,
) {
    let mut fencing = None;
    loop {
        let order = tokio::select! {
            order = orders.recv() => order,
            _ = closing.wait_for(|closing| *closing) => None,
        };
        let Some(order) = order else {
            return;
        };
        let command = match engine.order(&order, fencing.unwrap_or(0)).await {
            Ok(reply) => {
                fencing.get_or_insert(reply.newest_fencing + 1);
                RankCommand::EngineReport(reply.report)
            }
            Err(error) => {
                if matches!(error, RankEngineError::Fenced { .. }) {
                    event!(OrderFenced, "{error}");
                } else {
                    log::debug!("order to the engine: {error}");
                }
                RankCommand::EngineLost
            }
        };
        actor.submit_when_free(command).await;
    }
}
