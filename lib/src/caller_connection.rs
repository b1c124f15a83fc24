//! The connection on which a caller's request arrived.

use tokio::time::Instant;

/// The connection on which a caller's request arrived, as an extension of the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerConnection {
    /// Time at which the connection was accepted.
    pub(crate) accepted: Instant,
}
