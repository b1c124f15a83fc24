//! The signal to shut down, with its time.

use tokio::sync::watch;
use tokio::time::Instant;

/// When a process received the signal to shut down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SignalTime {
    /// Earliest time at which the signal may have been sent.
    pub(crate) sent: Instant,
    /// Time at which the process noticed it.
    pub(crate) noticed: Instant,
}

impl SignalTime {
    /// Returns the time of a signal that was sent now.
    pub(crate) fn now() -> Self {
        let now = Instant::now();
        Self {
            sent: now,
            noticed: now,
        }
    }
}

/// Tells of the signal to shut down.
#[derive(Debug, Clone)]
pub(crate) struct ShutdownSignal {
    /// Turns true when the process has to drain.
    pub(crate) draining: watch::Receiver<bool>,
    /// Time of the signal; present before `draining` turns true.
    pub(crate) time: watch::Receiver<Option<SignalTime>>,
}

impl ShutdownSignal {
    /// Waits for the signal, and returns its time; `None` if nobody can send it any more.
    pub(crate) async fn received(&mut self) -> Option<SignalTime> {
        self.draining.wait_for(|draining| *draining).await.ok()?;
        let time = *self.time.borrow();
        Some(time.unwrap_or_else(SignalTime::now))
    }
}
