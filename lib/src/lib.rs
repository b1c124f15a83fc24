//! Decisions, messages and services of the pomeloramp load balancer.
//!
//! Decisions are plain state machines: events and the time go in, actions come out. Threads and
//! sockets live in modules of their own and drive them.

mod expert_layout;
mod expert_load;
mod expert_packing;
mod expert_planner;
mod incarnation;
mod layer_layout;
mod layer_search;
mod layer_trade;
mod load_tracker;
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
mod plan_limits;
pub mod protos;
mod rebalance_plan;
mod skew_bound;
mod staged_map;
mod weight_pacer;

pub use expert_layout::ExpertLayout;
pub use expert_load::ExpertLoad;
pub use expert_planner::ExpertPlanner;
pub use incarnation::Incarnation;
pub use layer_layout::LayerLayout;
pub use load_tracker::LoadTracker;
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
pub use plan_limits::PlanLimits;
pub use rebalance_plan::RebalancePlan;
pub use skew_bound::skew_lower_bound;
pub use staged_map::StagedMap;
pub use weight_pacer::WeightPacer;
