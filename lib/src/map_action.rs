//! Actions that the map agreement requires from a rank's agent.

use crate::MapOrder;
use crate::MapReply;

/// An action that the driver of a [`MapParticipant`](crate::MapParticipant) must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum MapAction {
    /// Reply to a request.
    Reply {
        /// The id that was passed with the request.
        call_id: u64,
        /// The reply.
        reply: MapReply,
    },
    /// Send an order to the engine; only one is in flight at a time.
    Order(MapOrder),
    /// Request the state of every other rank and pass the replies to
    /// [`MapParticipant::on_peer_state`](crate::MapParticipant::on_peer_state).
    AskPeers,
    /// Start a [`MapCoordinator`](crate::MapCoordinator) that decides the undecided map.
    Recover,
}
