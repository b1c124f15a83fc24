//! Identifier of one prompt block.

use pomeloramp_proc_macros::key;

/// Identifies one block of a prompt together with all blocks before it (a chained hash).
#[key]
pub struct BlockHash(pub u64);
