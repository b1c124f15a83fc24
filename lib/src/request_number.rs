//! Number of a request at one agent.

use pomeloramp_proc_macros::key;

/// Names a request at one agent; the agent counts upwards and never uses a number twice.
#[key]
pub struct RequestNumber(pub u64);
