//! The progress of one call that an entry has not answered completely yet.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::time::Instant;

use crate::taking_clause::TakingClause;

/// What stays the same for a call.
#[derive(Debug)]
pub(crate) struct CallIdentity {
    pub(crate) request_id: String,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// Where a call is, and what it last heard.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallPosition {
    /// Id of the endpoint that the call was last sent to; absent while it waits for its first slot.
    pub(crate) endpoint: Option<String>,
    /// Times that the call was sent.
    pub(crate) attempts: usize,
    /// Time when the call was first sent to an endpoint.
    pub(crate) first_sent: Option<Instant>,
    /// The clause by which the call was taken; absent while it waits for its first slot.
    pub(crate) clause: Option<TakingClause>,
    /// Time of the last event from an endpoint.
    pub(crate) last_event: Option<Instant>,
}

/// The progress of one call. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct CallProgress {
    pub(crate) identity: Arc<CallIdentity>,
    position: Arc<Mutex<CallPosition>>,
}

impl CallProgress {
    /// Creates the progress of a call that waits for its first slot.
    pub(crate) fn new(identity: CallIdentity) -> Self {
        Self {
            identity: Arc::new(identity),
            position: Arc::default(),
        }
    }

    /// Records that the call is sent to an endpoint.
    pub(crate) fn record_send(&self, endpoint_id: &str) {
        let mut position = self.lock();
        position.endpoint = Some(endpoint_id.to_owned());
        position.attempts += 1;
        position.first_sent.get_or_insert_with(Instant::now);
    }

    /// Records by which clause the call was taken.
    pub(crate) fn record_clause(&self, clause: TakingClause) {
        self.lock().clause = Some(clause);
    }

    /// Records an event from the endpoint.
    pub(crate) fn record_event(&self, now: Instant) {
        self.lock().last_event = Some(now);
    }

    /// Returns the name of the clause by which the call was taken.
    pub(crate) fn clause_name(&self) -> &'static str {
        self.lock().clause.map_or("none", TakingClause::name)
    }

    /// Returns where the call is.
    pub(crate) fn position(&self) -> CallPosition {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, CallPosition> {
        self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
