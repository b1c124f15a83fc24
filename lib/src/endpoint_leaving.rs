//! What an entry believes of an endpoint that says in its answers that it leaves.

/// Time for which it is kept that an endpoint which is not listed leaves; it may be listed again.
const KEPT_MS: u64 = 600_000;

/// What an entry believes of an endpoint that says in its answers that it leaves.
///
/// One run of an endpoint that leaves never takes calls again.
#[derive(Debug, Default)]
pub(crate) struct EndpointLeaving {
    /// Time of the first answer that said so; absent while none has.
    said_ms: Option<u64>,
}

/// The first answer of an endpoint that says that it leaves, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingChange {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Service of the endpoint.
    pub service: String,
    /// Request that was answered so.
    pub request_id: String,
}

impl EndpointLeaving {
    /// Records that an answer says so; returns whether it is the first one.
    pub(crate) fn observe(&mut self, now_ms: u64) -> bool {
        let is_first = self.said_ms.is_none();
        self.said_ms.get_or_insert(now_ms);
        is_first
    }

    /// Returns whether the endpoint has said that it leaves.
    pub(crate) fn is_known(&self) -> bool {
        self.said_ms.is_some()
    }

    /// Returns whether this is kept while the endpoint is not listed.
    pub(crate) fn is_kept(&self, now_ms: u64) -> bool {
        let until_ms = self.said_ms.map(|said_ms| said_ms + KEPT_MS);
        until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }
}
