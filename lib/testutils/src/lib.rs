//! Test support shared by pomeloramp's test files.

pub mod caller;
pub mod compound;
pub mod compound_fault;
pub mod dispatch;
mod fake_engine;
mod fake_rank_engine;
pub mod fleet;
pub mod fleet_text;
pub mod http;
mod late_engine;
pub mod limit_bound;
pub mod limited_fleet;
mod map_group;
mod map_message;
pub mod process;
pub mod process_cost;
pub mod rank_coordinator;
pub mod rank_fleet;
pub mod relay;
pub mod rest_bound;
pub mod retry_bound;
mod routing_workload;
mod smallest_trace;
pub mod status;

pub use fake_engine::EngineEvent;
pub use fake_engine::EngineRequest;
pub use fake_engine::FakeEngine;
pub use fake_engine::StoredPrefix;
pub use fake_rank_engine::FakeRankEngine;
pub use late_engine::LateEngine;
pub use map_group::MapGroup;
pub use routing_workload::RoutingWorkload;
pub use smallest_trace::SmallestTrace;
