//! Orders that an engine took.

use std::sync::Mutex;

use pomeloramp_proc_macros::document;

/// An order to an engine, such as to load a model.
#[document]
pub(crate) struct Order {
    pub(crate) kind: String,
    /// Number that grows with each change of who may give orders.
    pub(crate) fencing: u64,
}

/// Remembers accepted orders and, where asked to, refuses those with an old fencing number.
#[derive(Debug)]
pub(crate) struct OrderLog {
    check_fencing: bool,
    accepted: Mutex<Vec<Order>>,
}

impl OrderLog {
    /// Creates an empty log.
    pub(crate) fn new(check_fencing: bool) -> Self {
        Self {
            check_fencing,
            accepted: Mutex::default(),
        }
    }

    /// Takes an order and returns whether it was accepted.
    pub(crate) fn take(&self, order: Order) -> bool {
        let mut accepted = self.accepted.lock().expect("no holder of the lock panics");
        let newest = accepted.iter().map(|earlier| earlier.fencing).max();
        if self.check_fencing && newest.is_some_and(|newest| order.fencing < newest) {
            return false;
        }
        accepted.push(order);
        true
    }

    /// Returns the accepted orders in the order of their arrival.
    pub(crate) fn accepted(&self) -> Vec<Order> {
        self.accepted
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }
}
