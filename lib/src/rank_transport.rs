//! Sockets of a rank's agent: orders to its engine and messages to the other ranks' agents.

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
use crate::agent_channels::AgentChannels;
use crate::duty::Duty;
use crate::event;
use crate::protos::control::rank_group_client::RankGroupClient;
use crate::rank_command::OutboundRequest;
use crate::rank_command::RankCommand;
use crate::rank_engine_client::RankEngineClient;
use crate::rank_engine_client::RankEngineError;
use crate::rank_server;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_MESSAGES_IN_FLIGHT: usize = 1024;

/// Reaches the agents of a group's ranks.
#[derive(Clone)]
pub(crate) struct RankPeers {
    pub(crate) channels: AgentChannels,
    pub(crate) group: String,
    /// Socket addresses of the ranks' agents.
    pub(crate) sockets: Arc<Vec<String>>,
    pub(crate) own_rank: usize,
    pub(crate) duty: Duty<RankCommand>,
}

impl RankPeers {
    /// Asks the agent of a rank; the own one without a socket.
    pub(crate) async fn send_request(
        &self,
        rank: usize,
        request: MapRequest,
    ) -> Result<MapReply, Status> {
        let answer = self.send_request_without_timeout(rank, request);
        tokio::time::timeout(ANSWER_TIMEOUT, answer)
            .await
            .unwrap_or_else(|_| Err(Status::deadline_exceeded("the rank did not answer in time")))
    }

    async fn send_request_without_timeout(
        &self,
        rank: usize,
        request: MapRequest,
    ) -> Result<MapReply, Status> {
        if rank == self.own_rank {
            return rank_server::handle_request(&self.duty, request).await;
        }
        let mut client = self.client(rank)?;
        self.address(rank).send_request(&mut client, request).await
    }

    /// Returns a client of a rank's agent.
    pub(crate) fn client(
        &self,
        rank: usize,
    ) -> Result<RankGroupClient<tonic::transport::Channel>, Status> {
        let socket = self
            .sockets
            .get(rank)
            .ok_or_else(|| Status::invalid_argument(format!("the group has no rank {rank}")))?;
        Ok(RankGroupClient::new(self.channels.get(socket)?))
    }

    /// Names a rank of this agent's group.
    pub(crate) fn address(&self, rank: usize) -> RankAddress {
        RankAddress {
            group: self.group.clone(),
            rank,
            rank_count: self.rank_count(),
        }
    }

    /// Returns the number of ranks in the group.
    pub(crate) fn rank_count(&self) -> usize {
        self.sockets.len()
    }
}

/// Passes messages on until the agent closes; the answers go back to the duty.
pub(crate) async fn run_messages(
    mut sends: mpsc::Receiver<OutboundRequest>,
    peers: RankPeers,
    mut closing: watch::Receiver<bool>,
) {
    let in_flight = Arc::new(Semaphore::new(MAX_MESSAGES_IN_FLIGHT));
    loop {
        let send = tokio::select! {
            send = sends.recv() => send,
            _ = closing.wait_for(|closing| *closing) => None,
        };
        let Some(send) = send else {
            return;
        };
        let Ok(permit) = Arc::clone(&in_flight).try_acquire_owned() else {
            log::debug!("message to rank {}: too many are in flight", send.rank);
            continue;
        };
        let peers = peers.clone();
        tokio::spawn(async move {
            deliver(send, &peers).await;
            drop(permit);
        });
    }
}

async fn deliver(send: OutboundRequest, peers: &RankPeers) {
    let rank = send.rank;
    match peers.send_request(rank, send.request).await {
        Ok(reply) => {
            let answer = RankCommand::Answer {
                rank,
                origin: send.origin,
                reply,
            };
            peers.duty.submit_when_free(answer).await;
        }
        Err(status) => log::debug!("message to rank {rank}: {}", status.message()),
    }
}

/// Gives orders one after another until the agent closes; the reports go back to the duty.
///
/// Each run of an agent takes a fencing number above the one that its engine saw last, so that
/// an engine that checks it refuses what an earlier run ordered.
pub(crate) async fn run_orders(
    mut orders: mpsc::Receiver<MapOrder>,
    engine: RankEngineClient,
    duty: Duty<RankCommand>,
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
            Ok(answer) => {
                fencing.get_or_insert(answer.newest_fencing + 1);
                RankCommand::EngineReport(answer.report)
            }
            Err(error) => {
                if matches!(error, RankEngineError::Fenced { .. }) {
                    event!(OrderFenced, "{error}");
                } else {
                    log::debug!("order: {error}");
                }
                RankCommand::EngineLost
            }
        };
        duty.submit_when_free(command).await;
    }
}
