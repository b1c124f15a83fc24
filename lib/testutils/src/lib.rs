//! Test support shared by pomeloramp's test files.

pub mod caller;
mod fake_engine;
pub mod fleet;
pub mod http;
pub mod process;
mod routing_workload;

pub use fake_engine::EngineEvent;
pub use fake_engine::EngineRequest;
pub use fake_engine::FakeEngine;
pub use routing_workload::RoutingWorkload;
