//! On whose account a request holds a slot.

use pomeloramp_proc_macros::key;

/// On whose account a running request holds its slot.
#[key]
pub enum SlotAccount {
    /// The organisation's own declared share.
    Owned,
    /// Idle capacity of other organisations.
    Borrowed,
}
