//! Replies of the `RankGroup` service.

use crate::protos::control::DecideMapReply;
use crate::protos::control::MapRefusal;
use crate::protos::control::MapStateReply;
use crate::protos::control::PrepareMapReply;

/// One reply of the `RankGroup` service.
#[derive(Debug, Clone, PartialEq)]
pub enum MapReply {
    /// Answers [`MapRequest::Prepare`](crate::MapRequest::Prepare).
    Prepare(PrepareMapReply),
    /// Answers [`MapRequest::Decide`](crate::MapRequest::Decide).
    Decide(DecideMapReply),
    /// Answers [`MapRequest::State`](crate::MapRequest::State).
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
