//! Test support shared by pomeloramp's test files.

pub mod caller;
pub mod fleet;
pub mod http;
pub mod process;
pub mod relay;
