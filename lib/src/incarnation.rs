//! Identity of one run of a process.

use pomeloramp_proc_macros::key;

/// Identifies one run of a process; a restarted process has another incarnation.
#[key]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns a random incarnation, which is never zero.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::random_range(1..=u64::MAX))
    }
}
