//! What the duty of a rank's agent is told and asked, and what it sends.

use tokio::sync::oneshot;

use crate::MapEngineReport;
use crate::MapOutcome;
use crate::MapReply;
use crate::MapRequest;
use crate::MapSend;
use crate::protos::control::ExpertReplica;
use crate::protos::control::MapStateReply;
use crate::protos::control::RankStatus;

/// A command to the duty of a rank's agent.
pub(crate) enum RankCommand {
    /// A request of a coordinator, or of another rank's agent.
    Request {
        request: MapRequest,
        reply: oneshot::Sender<MapReply>,
    },
    /// The engine answered the order in flight.
    EngineReport(MapEngineReport),
    /// The order in flight got no answer.
    EngineLost,
    /// A rank answered a message of this agent.
    Answer {
        rank: usize,
        origin: MapOrigin,
        reply: MapReply,
    },
    /// Starts a run that proposes a map; the sender is dropped when the run is given up.
    Propose {
        proposal: MapProposal,
        ended: oneshot::Sender<MapOutcome>,
    },
    /// Asks for what operators see.
    Status { reply: oneshot::Sender<RankStatus> },
}

/// A map that a planner proposes.
#[derive(Debug, Clone, Default)]
pub(crate) struct MapProposal {
    /// Id of a map that the ranks have copied; absent where the run is to pick one.
    pub(crate) map_id: Option<u64>,
    /// Step that some rank has begun.
    pub(crate) min_step: u64,
    /// Where the map's replicas are; empty where the ranks know it by its id.
    pub(crate) replicas: Vec<ExpertReplica>,
}

/// What of this agent sent a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MapOrigin {
    /// The rank itself, which asks its peers what was decided.
    Rank,
    /// A coordinator's run.
    Run {
        /// Random number of the run.
        nonce: u32,
        /// Pairs the reply with the message.
        call: u64,
    },
}

/// A message to a rank's agent.
pub(crate) struct RankSend {
    pub(crate) rank: usize,
    pub(crate) origin: MapOrigin,
    pub(crate) request: MapRequest,
}

impl RankSend {
    /// Addresses a message of a coordinator's run.
    pub(crate) fn of_run(nonce: u32, send: MapSend) -> Self {
        Self {
            rank: send.rank,
            origin: MapOrigin::Run {
                nonce,
                call: send.call,
            },
            request: send.request,
        }
    }

    /// Returns the state in a reply to the rank itself.
    pub(crate) fn peer_state(origin: MapOrigin, reply: &MapReply) -> Option<MapStateReply> {
        match (origin, reply) {
            (MapOrigin::Rank, MapReply::State(state)) => Some(*state),
            _ => None,
        }
    }
}
