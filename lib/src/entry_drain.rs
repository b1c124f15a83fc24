//! The drain of an entry, from the signal to shut down until the process is killed.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::DrainPolicy;
use crate::as_ms::as_ms;

/// The drain of an entry, from the signal to shut down until the process is killed.
#[derive(Debug)]
pub(crate) struct EntryDrain {
    policy: DrainPolicy,
    started: OnceLock<Instant>,
    /// Calls taken since the signal.
    taken: AtomicU64,
    /// Calls refused since the signal because they might not have ended in time.
    refused: AtomicU64,
}

impl EntryDrain {
    /// Creates the drain of an entry that has not received the signal.
    pub(crate) fn new(policy: DrainPolicy) -> Self {
        Self {
            policy,
            started: OnceLock::new(),
            taken: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Records that the process has received the signal. Further signals change nothing.
    pub(crate) fn start(&self) {
        let _ = self.started.set(Instant::now());
    }

    /// Returns the time since the signal; `None` while the entry is not draining.
    pub(crate) fn elapsed(&self) -> Option<Duration> {
        self.started.get().map(Instant::elapsed)
    }

    /// Returns the time left until all calls should have ended; `None` while the entry is not draining.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let elapsed = self.elapsed()?;
        Some(self.policy.end().saturating_sub(elapsed))
    }

    /// Returns the longest lifetime of an answer that names an entry at `draining` since its signal.
    pub(crate) fn address_lifetime(&self, draining: Duration) -> Duration {
        self.policy.address_lifetime(draining)
    }

    /// Returns whether the entry takes a call that ends at `deadline` at the latest.
    pub(crate) fn takes(&self, deadline: Instant) -> bool {
        let Some(draining) = self.elapsed() else {
            return true;
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.policy.takes(draining, time_left)
    }

    /// Counts a call that was taken since the signal.
    pub(crate) fn record_taken(&self) {
        self.taken.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that was refused since the signal.
    pub(crate) fn record_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls taken since the signal.
    pub(crate) fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }

    /// Returns the number of calls refused since the signal.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the time since the signal; zero while the entry is not draining.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        as_ms(self.elapsed().unwrap_or_default())
    }

    /// Returns the log fields of the drain: its time, and the calls taken and refused since the signal.
    pub(crate) fn log_fields(&self) -> String {
        format!(
            "draining_ms={} taken={} refused={}",
            self.elapsed_ms(),
            self.taken(),
            self.refused()
        )
    }
}
