//! Rate at which a declared share yields slot time.

use pomeloramp_proc_macros::key;

/// Rate at which a declared share yields slot time: `capacity * share_weight /
/// total_share_weight` slots.
#[key]
pub(crate) struct ShareRate {
    pub(crate) capacity: u32,
    pub(crate) share_weight: u32,
    pub(crate) total_share_weight: u64,
}

impl ShareRate {
    /// Returns the wall time in which the share yields `slot_us` of slot time, or zero for an empty
    /// share.
    pub(crate) fn wall_us(self, slot_us: i128) -> i128 {
        match self.weighted_slots() {
            0 => 0,
            divisor => slot_us * i128::from(self.total_share_weight) / divisor,
        }
    }

    /// Returns the slot time that the share yields in `wall_us`, or `None` if no organisation
    /// declares a share.
    pub(crate) fn slot_us(self, wall_us: i128) -> Option<i128> {
        (wall_us * self.weighted_slots()).checked_div(i128::from(self.total_share_weight))
    }

    fn weighted_slots(self) -> i128 {
        i128::from(self.capacity) * i128::from(self.share_weight)
    }
}
