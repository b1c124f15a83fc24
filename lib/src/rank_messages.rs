//! Messages of a rank's duty to the agents of other ranks, and what is done for a silent one.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::MapOrder;
use crate::MapReply;
use crate::MapRequest;
use crate::RankLocation;
use crate::direct_orders;
use crate::direct_orders::FencingNumber;
use crate::direct_orders::RankLink;
use crate::duty::Duty;
use crate::event;
use crate::group_agent::EngineByAddress;
use crate::protos::control::DecideMapReply;
use crate::protos::control::DecideMapRequest;
use crate::protos::control::RankDatagram;
use crate::rank_command::MapOrigin;
use crate::rank_command::RankCommand;
use crate::rank_command::RankSend;
use crate::rank_datagrams;
use crate::rank_datagrams::RankDatagrams;
use crate::rank_server;

/// Sends of a decision without an answer after which it is carried out for the silent agent.
const SILENT_SENDS: u32 = 3;

/// Passes the messages of the duty to other ranks' agents, and those to its own rank back.
pub(crate) struct RankMessages {
    pub(crate) datagrams: RankDatagrams,
    pub(crate) duty: Duty<RankCommand>,
    pub(crate) group: String,
    pub(crate) rank: u32,
    pub(crate) peers: watch::Receiver<Vec<RankLocation>>,
    pub(crate) engine_at: Arc<EngineByAddress>,
    /// The last decision that was sent to each rank, and how often.
    pub(crate) decisions: HashMap<u32, (DecideMapRequest, u32)>,
}

impl RankMessages {
    /// Passes messages on until the duty ends.
    pub(crate) async fn run(mut self, mut sends: mpsc::Receiver<RankSend>) {
        while let Some(send) = sends.recv().await {
            self.stand_in(&send);
            let rank = u32::try_from(send.rank).unwrap_or(u32::MAX);
            if rank == self.rank {
                tokio::spawn(answer_own(self.duty.clone(), send));
                continue;
            }
            let datagram = RankDatagram {
                group: self.group.clone(),
                group_incarnation: 0,
                rank: self.rank,
                content: Some(rank_datagrams::ask_content(&send)),
            };
            self.datagrams.send(rank, &datagram).await;
        }
    }

    /// Carries a decision out for a rank whose agent does not answer.
    ///
    /// A decision is final, so that it does no harm when the agent carries it out as well. Until
    /// it is carried out the whole group waits for the rank.
    fn stand_in(&mut self, send: &RankSend) {
        let MapRequest::Decide(decision) = &send.request else {
            return;
        };
        let rank = u32::try_from(send.rank).unwrap_or(u32::MAX);
        let (before, count) = self.decisions.entry(rank).or_insert((*decision, 0));
        let is_same = before.map_id == decision.map_id && before.commit == decision.commit;
        *count = if is_same { *count + 1 } else { 1 };
        *before = *decision;
        if rank == self.rank || !count.is_multiple_of(SILENT_SENDS) {
            return;
        }
        let Some(agent) = self.datagrams.address(rank) else {
            return;
        };
        let peers = self.peers.borrow();
        let place = peers.iter().find(|peer| peer.agent.ip() == agent.ip());
        let Some(place) = place else {
            return;
        };
        let stand_in = StandIn {
            rank: send.rank,
            origin: send.origin,
            decision: *decision,
            link: RankLink::new((self.engine_at)(&place.engine)),
            duty: self.duty.clone(),
        };
        tokio::spawn(stand_in.run());
    }
}

/// Carries one decision out at the engine of another rank.
struct StandIn {
    rank: usize,
    origin: MapOrigin,
    decision: DecideMapRequest,
    link: RankLink,
    duty: Duty<RankCommand>,
}

impl StandIn {
    async fn run(self) {
        match self.carry_out().await {
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
                let command = RankCommand::Answer {
                    rank: self.rank,
                    origin: self.origin,
                    reply,
                };
                if let Err(error) = self.duty.submit(command) {
                    log::warn!("decision for rank {}: {error}", self.rank);
                }
            }
            Ok(false) => log::info!("rank {} has nothing to decide", self.rank),
            Err(reason) => log::info!("decision for rank {}: {reason}", self.rank),
        }
    }

    /// Returns whether the decision has taken effect at the engine.
    async fn carry_out(&self) -> Result<bool, String> {
        let map_id = self.decision.map_id;
        let report = self.link.read().await?;
        if report.group_incarnation != self.decision.group_incarnation {
            return Ok(false);
        }
        let staged = report.for_agreement().staged;
        let is_staged = staged.is_some_and(|staged| staged.map_id == map_id);
        if !is_staged {
            return Ok(report.for_agreement().has_committed(map_id) == self.decision.commit);
        }
        let order = if self.decision.commit {
            MapOrder::Commit { map_id }
        } else {
            MapOrder::Release { map_id }
        };
        let mut fencing = FencingNumber::default();
        let after = direct_orders::carry_out(&order, &self.link, &mut fencing).await?;
        Ok(if self.decision.commit {
            after.has_committed(map_id) && !after.held
        } else {
            after.staged.is_none()
        })
    }
}

async fn answer_own(duty: Duty<RankCommand>, send: RankSend) {
    let Ok(reply) = rank_server::ask(&duty, send.request).await else {
        return;
    };
    let command = RankCommand::Answer {
        rank: send.rank,
        origin: send.origin,
        reply,
    };
    if let Err(error) = duty.submit(command) {
        log::warn!("answer of the own rank: {error}");
    }
}
