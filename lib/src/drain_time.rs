//! Time of an entry's drain, from the signal to shut down until the process is killed.

use std::sync::OnceLock;

use tokio::time::Instant;

/// Time of an entry's drain, from the signal to shut down until the process is killed.
#[derive(Debug, Default)]
pub(crate) struct DrainTime {
    started: OnceLock<Instant>,
}

impl DrainTime {
    /// Records that the process has received the signal to shut down. Further signals change nothing.
    pub(crate) fn start(&self) {
        let _ = self.started.set(Instant::now());
    }

    /// Returns when the drain began; `None` while the entry is not draining.
    pub(crate) fn started(&self) -> Option<Instant> {
        self.started.get().copied()
    }
}
