//! Replies to map requests of the `RankGroup` service.

use crate::protos::control::DecideMapReply;
use crate::protos::control::MapRefusal;
use crate::protos::control::MapStateReply;
use crate::protos::control::PrepareMapReply;

/// A reply to a [`MapRequest`](crate::MapRequest).
#[derive(Debug, Clone, PartialEq)]
pub enum MapReply {
    /// Reply to [`MapRequest::Prepare`](crate::MapRequest::Prepare).
    Prepare(PrepareMapReply),
    /// Reply to [`MapRequest::Decide`](crate::MapRequest::Decide).
    Decide(DecideMapReply),
    /// Reply to [`MapRequest::State`](crate::MapRequest::State).
    State(MapStateReply),
}

impl MapReply {
    pub(crate) fn highest_ballot(&self) -> u64 {
        match self {
            Self::Prepare(reply) => reply.highest_ballot,
            Self::Decide(reply) => reply.highest_ballot,
            Self::State(reply) => reply.highest_ballot,
        }
    }

    pub(crate) fn refusal(&self) -> MapRefusal {
        match self {
            Self::Prepare(reply) => reply.reason(),
            Self::Decide(reply) => reply.reason(),
            Self::State(reply) => reply.reason(),
        }
    }
}
