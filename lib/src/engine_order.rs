//! Orders to the engine of a rank on the direct path.

use pomeloramp_proc_macros::value;

use crate::ExpertSlots;

/// An order to the engine of a rank on the direct path.
///
/// An order that gets no answer may be carried out at once, seconds later, or never.
#[value]
pub enum EngineOrder {
    /// Copies the experts of a map that the rank lacks.
    Copy {
        /// Id of the map; above those of all maps that the rank has had.
        map_id: u64,
        /// The experts of every rank.
        slots: ExpertSlots,
    },
    /// Switches to a copied map as a step begins.
    Arm {
        /// Id of the map.
        map_id: u64,
        /// The step, not begun yet.
        step: u64,
    },
    /// Keeps the group from beginning a step.
    Hold {
        /// The step, not begun yet.
        step: u64,
    },
    /// Ends a hold.
    ReleaseHold {
        /// The step of the hold.
        step: u64,
    },
}

/// What became of an order.
#[value]
#[derive(Copy)]
pub enum OrderResult {
    /// The order was carried out, or has begun.
    Done,
    /// The order does not fit the engine's state and never takes effect.
    Refused,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// No answer came; the order may still be carried out.
    Unknown,
}
