//! When a connection counts as silent.

use crate::ConnectionAction;

/// Decides when a connection counts as silent, because something between its ends lost track of it.
///
/// A connection without a byte received for `ping_after_ms` is sent a ping; one without a byte for
/// `ping_timeout_ms` after that is replaced. So a connection that goes silent for good is replaced
/// within `ping_after_ms + ping_timeout_ms` and the lag of [`poll`](Self::poll) behind
/// [`next_poll_ms`](Self::next_poll_ms). Bytes sent don't count, for a sender can't tell where they
/// went. A poll that lags by `ping_timeout_ms` or more shows that this process was paused; it pings
/// again before it gives the connection up, for the silence may have been its own.
#[derive(Debug)]
pub struct SilentConnection {
    ping_after_ms: u64,
    ping_timeout_ms: u64,
    received_ms: u64,
    pinged_ms: Option<u64>,
    is_replaced: bool,
}

impl SilentConnection {
    /// Starts to watch a connection that was opened at `now_ms`.
    #[must_use]
    pub fn new(ping_after_ms: u64, ping_timeout_ms: u64, now_ms: u64) -> Self {
        Self {
            ping_after_ms,
            ping_timeout_ms,
            received_ms: now_ms,
            pinged_ms: None,
            is_replaced: false,
        }
    }

    /// Takes note that a byte was received.
    pub fn observe_received(&mut self, now_ms: u64) {
        self.received_ms = self.received_ms.max(now_ms);
        self.pinged_ms = None;
    }

    /// Returns what to do with the connection now.
    pub fn poll(&mut self, now_ms: u64) -> ConnectionAction {
        if self.is_replaced {
            return ConnectionAction::Keep;
        }
        let Some(pinged_ms) = self.pinged_ms else {
            return self.poll_unpinged(now_ms);
        };
        let waited_ms = now_ms.saturating_sub(pinged_ms);
        if waited_ms < self.ping_timeout_ms {
            return ConnectionAction::Keep;
        }
        if waited_ms >= self.ping_timeout_ms.saturating_mul(2) {
            self.pinged_ms = Some(now_ms);
            return ConnectionAction::Ping;
        }
        self.is_replaced = true;
        ConnectionAction::Replace
    }

    /// Returns the time at which [`poll`](Self::poll) has something to do, or `None` once the
    /// connection was replaced.
    #[must_use]
    pub fn next_poll_ms(&self) -> Option<u64> {
        if self.is_replaced {
            return None;
        }
        Some(match self.pinged_ms {
            Some(pinged_ms) => pinged_ms.saturating_add(self.ping_timeout_ms),
            None => self.received_ms.saturating_add(self.ping_after_ms),
        })
    }

    fn poll_unpinged(&mut self, now_ms: u64) -> ConnectionAction {
        if now_ms.saturating_sub(self.received_ms) < self.ping_after_ms {
            return ConnectionAction::Keep;
        }
        self.pinged_ms = Some(now_ms);
        ConnectionAction::Ping
    }
}
