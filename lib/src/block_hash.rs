//! Name of one block of a prompt together with all blocks before it.

use pomeloramp_proc_macros::key;

/// Names one block of a prompt together with all blocks before it.
#[key]
pub struct BlockHash(pub u64);
