//! Messages of the simulated network of a rank group.

use pomeloramp_lib::CoordinatorRequest;
use pomeloramp_lib::MapReply;

/// The sender of a request to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    Coordinator { slot: usize, nonce: u32 },
    Peer { rank: usize, incarnation: u64 },
}

/// A message in flight between a coordinator or a peer and an agent.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    Request {
        origin: Origin,
        send: CoordinatorRequest,
    },
    Reply {
        origin: Origin,
        call_id: u64,
        rank: usize,
        reply: MapReply,
    },
}

impl Message {
    /// Returns the sender of the request and the rank that receives the request.
    pub(crate) fn origin_and_rank(&self) -> (Origin, usize) {
        match self {
            Self::Request { origin, send } => (*origin, send.rank),
            Self::Reply { origin, rank, .. } => (*origin, *rank),
        }
    }
}
