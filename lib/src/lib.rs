//! Decisions, messages and services of the pomeloramp load balancer.
//!
//! Decisions are plain state machines: events and the time go in, actions come out. Threads and
//! sockets live in modules of their own and drive them.

mod incarnation;
mod map_action;
mod map_ballot;
mod map_coordinator;
mod map_engine_report;
mod map_order;
mod map_outcome;
mod map_participant;
mod map_reply;
mod map_request;
mod map_send;
mod outcome;
pub mod protos;
mod staged_map;

pub use incarnation::Incarnation;
pub use map_action::MapAction;
pub use map_coordinator::MapCoordinator;
pub use map_engine_report::MapEngineReport;
pub use map_order::MapOrder;
pub use map_outcome::MapOutcome;
pub use map_participant::MapParticipant;
pub use map_reply::MapReply;
pub use map_request::MapRequest;
pub use map_send::MapSend;
pub use outcome::Outcome;
pub use staged_map::StagedMap;
