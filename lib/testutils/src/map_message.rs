//! Messages of the fake rank group's network.

use pomeloramp_lib::MapReply;
use pomeloramp_lib::MapSend;

/// Who asked an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    Coordinator { slot: usize, nonce: u32 },
    Peer { rank: usize, incarnation: u64 },
}

/// A message under way between a coordinator or a peer and an agent.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    Request {
        origin: Origin,
        send: MapSend,
    },
    Reply {
        origin: Origin,
        call: u64,
        rank: usize,
        reply: MapReply,
    },
}

impl Message {
    /// Returns who asked, and the rank that is asked.
    pub(crate) fn ends(&self) -> (Origin, usize) {
        match self {
            Self::Request { origin, send } => (*origin, send.rank),
            Self::Reply { origin, rank, .. } => (*origin, *rank),
        }
    }
}
