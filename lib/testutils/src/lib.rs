//! Test support shared by pomeloramp's test files.

<<<<<<< HEAD
pub mod caller;
pub mod fleet;
pub mod http;
pub mod process;
pub mod relay;
=======
mod fake_rank_engine;
mod map_group;

pub use fake_rank_engine::FakeRankEngine;
pub use map_group::MapGroup;
>>>>>>> h2
