//! Load reports that lag behind the load.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::engine_load::EngineLoad;

/// Remembers the load for as long as reports lag behind it.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    reported: EngineLoad,
    pending: VecDeque<PendingLoad>,
}

#[derive(Debug)]
struct PendingLoad {
    visible_at: Instant,
    load: EngineLoad,
}

impl LoadHistory {
    /// Creates a history that reports `initial` until a change is older than `lag`.
    pub(crate) fn new(lag: Duration, initial: EngineLoad) -> Self {
        Self {
            lag,
            reported: initial,
            pending: VecDeque::new(),
        }
    }

    /// Records a change of the load.
    pub(crate) fn record(&mut self, load: EngineLoad, now: Instant) {
        self.advance(now);
        let visible_at = now + self.lag;
        self.pending.push_back(PendingLoad { visible_at, load });
    }

    /// Returns the load as it was one lag ago.
    pub(crate) fn report(&mut self, now: Instant) -> &EngineLoad {
        self.advance(now);
        &self.reported
    }

    fn advance(&mut self, now: Instant) {
        while self
            .pending
            .front()
            .is_some_and(|next| next.visible_at <= now)
        {
            if let Some(next) = self.pending.pop_front() {
                self.reported = next.load;
            }
        }
    }
}
