//! Requests of the `RankGroup` service that belong to the agreement on expert maps.

use crate::protos::control::DecideMapRequest;
use crate::protos::control::MapStateRequest;
use crate::protos::control::PrepareMapRequest;

/// A request to a rank's agent about an expert map.
#[derive(Debug, Clone, PartialEq)]
pub enum MapRequest {
    /// Asks the rank to stage a map and to promise not to start its switch step before a decision.
    Prepare(PrepareMapRequest),
    /// Commits or aborts a map.
    Decide(DecideMapRequest),
    /// Requests the state of the rank, with or without a ballot.
    State(MapStateRequest),
}
