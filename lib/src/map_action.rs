//! Actions of a rank's agent in the agreement on expert maps.

use crate::MapOrder;
use crate::MapReply;

/// What the driver of a [`MapParticipant`](crate::MapParticipant) has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum MapAction {
    /// Answer a request.
    Reply {
        /// The call given with the request.
        call_id: u64,
        /// The answer.
        reply: MapReply,
    },
    /// Send an order to the engine; only one is in flight at a time.
    Order(MapOrder),
    /// Read the state of every other rank and pass on the replies.
    AskPeers,
    /// Start a [`MapCoordinator`](crate::MapCoordinator) that settles the undecided map.
    Recover,
}
