//! Terms on which an engine of the direct path executes an order.

use pomeloramp_proc_macros::value;

/// What an engine checks before it executes an order, also when the order reaches it late.
#[value]
#[derive(Copy)]
pub struct OrderTerms {
    /// Incarnation of the rank group for which the order was decided.
    pub group_incarnation: u64,
    /// Fencing token; some engines refuse a lower one than they have seen, others ignore it.
    pub fencing_token: u64,
    /// The engine's [`order_count`](crate::RankReport::order_count) when the order was decided. The
    /// engine refuses the order once it has begun another one; `None` if the engine counts none.
    pub expected_order_count: Option<u64>,
}
