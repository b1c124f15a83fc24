//! Test support shared by pomeloramp's test files.

mod fake_rank_engine;
mod map_group;

pub use fake_rank_engine::FakeRankEngine;
pub use map_group::MapGroup;
