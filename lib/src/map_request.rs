//! Requests of the `RankGroup` service.

use crate::protos::control::DecideMapRequest;
use crate::protos::control::MapStateRequest;
use crate::protos::control::PrepareMapRequest;

/// One request of the `RankGroup` service.
#[derive(Debug, Clone, PartialEq)]
pub enum MapRequest {
    /// Stage a map and promise not to pass its switch step undecided.
    Prepare(PrepareMapRequest),
    /// Commit or abort a prepared map.
    Decide(DecideMapRequest),
    /// Report the state of the rank.
    State(MapStateRequest),
}
