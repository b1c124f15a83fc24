//! Orders that an agent sends to the engine of its rank on the direct path.

use pomeloramp_proc_macros::value;

use crate::ExpertSlots;

/// An order to the engine of a rank on the direct path.
///
/// An order without an answer may take effect immediately, seconds later, or never.
#[value]
pub enum EngineOrder {
    /// Loads the experts that the map assigns to the rank and that the rank does not hold yet.
    Copy {
        /// Id of the map; must be higher than every id that the rank has received before.
        map_id: u64,
        /// The experts of every rank, slot by slot.
        slots: ExpertSlots,
    },
    /// Schedules the switch to a copied map at the start of a step.
    Arm {
        /// Id of the copied map.
        map_id: u64,
        /// First step that uses the map; must not have started.
        step: u64,
    },
    /// Cancels the switch to a map that is not in use yet.
    Disarm {
        /// Id of the armed map.
        map_id: u64,
    },
    /// Prevents the group from starting a step until the hold is released.
    Hold {
        /// The step to block; must not have started.
        step: u64,
    },
    /// Releases a hold, so that the group may start the step.
    ReleaseHold {
        /// The step that is held.
        step: u64,
    },
}

/// Result of an engine order, as far as the agent knows it.
#[value]
#[derive(Copy)]
pub enum OrderResult {
    /// The order took effect, or its execution has started.
    Done,
    /// The order conflicts with the engine's state and never takes effect.
    Refused,
    /// The engine has seen a higher fencing token and rejected the order.
    Fenced,
    /// No answer arrived; the order may still take effect.
    Unknown,
}
