//! Commands to the actor of a rank's agent, and the requests that it sends.

use tokio::sync::oneshot;

use crate::CoordinatorRequest;
use crate::MapEngineReport;
use crate::MapOutcome;
use crate::MapReply;
use crate::MapRequest;
use crate::protos::control::ExpertReplica;
use crate::protos::control::MapStateReply;
use crate::protos::control::RankStatus;

/// A command to the [`RankActor`](crate::rank_actor::RankActor).
pub(crate) enum RankCommand {
    /// Handles a map request from a coordinator or from another rank's agent.
    Request {
        request: MapRequest,
        reply: oneshot::Sender<MapReply>,
    },
    /// Handles the engine's report in answer to the order in flight.
    EngineReport(MapEngineReport),
    /// Handles the failure of the order in flight.
    EngineLost,
    /// Handles the reply of a rank to a request of this agent.
    PeerReply {
        rank: usize,
        origin: MapOrigin,
        reply: MapReply,
    },
    /// Starts a coordinator that proposes a map. `outcome_sender` is dropped without a value when
    /// the coordinator cannot start or is abandoned.
    Propose {
        proposal: MapProposal,
        outcome_sender: oneshot::Sender<MapOutcome>,
    },
    /// Makes no further promise to hold a step, and reports when the rank holds none and this agent
    /// proposes no map.
    Close { settled: oneshot::Sender<()> },
    /// Returns the status that is shown to operators.
    Status { reply: oneshot::Sender<RankStatus> },
}

/// An expert map that a planner proposes.
#[derive(Debug, Clone, Default)]
pub(crate) struct MapProposal {
    /// Id of a map that the ranks have already copied; if absent, the coordinator picks an id.
    pub(crate) map_id: Option<u64>,
    /// Lower bound for the furthest rank's step.
    pub(crate) min_step: u64,
    /// Placement of the map's replicas; empty if the ranks know the map by its id.
    pub(crate) replicas: Vec<ExpertReplica>,
}

/// The component of this agent that sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MapOrigin {
    /// The participant, which reads the state of its peers to find a decision.
    Participant,
    /// A coordinator.
    Coordinator {
        /// Random number of the coordinator.
        nonce: u32,
        /// Identifies the request within the coordinator.
        call_id: u64,
    },
}

/// A map request that this agent sends to the agent of a rank, possibly its own.
pub(crate) struct OutboundRequest {
    pub(crate) rank: usize,
    pub(crate) origin: MapOrigin,
    pub(crate) request: MapRequest,
}

impl OutboundRequest {
    /// Wraps a request of the coordinator with the given nonce.
    pub(crate) fn from_coordinator(nonce: u32, request: CoordinatorRequest) -> Self {
        Self {
            rank: request.rank,
            origin: MapOrigin::Coordinator {
                nonce,
                call_id: request.call_id,
            },
            request: request.request,
        }
    }

    /// Returns the peer's state if the reply answers a request of the participant.
    pub(crate) fn peer_state(origin: MapOrigin, reply: &MapReply) -> Option<MapStateReply> {
        match (origin, reply) {
            (MapOrigin::Participant, MapReply::State(state)) => Some(*state),
            _ => None,
        }
    }
}
