//! Number of a request within one agent.

use pomeloramp_proc_macros::key;

/// Identifies a request within one agent, which counts upwards and never reuses a number.
#[key]
pub struct RequestNumber(pub u64);
