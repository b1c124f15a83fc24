//! Account that the slot of a request is charged to.

use pomeloramp_proc_macros::key;

/// Account that the slot of a running request is charged to.
#[key]
pub enum SlotAccount {
    /// The declared share of the request's organisation.
    Owned,
    /// Idle capacity that other organisations lend.
    Borrowed,
}
