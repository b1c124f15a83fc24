//! The drain of an entry, from the signal to shut down until the process is killed.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::DrainPolicy;
use crate::as_ms::as_ms;

/// The drain of an entry, from the signal to shut down until the process is killed.
#[derive(Debug)]
pub(crate) struct EntryDrain {
    policy: DrainPolicy,
    /// Time of the signal; absent while the entry is not draining.
    started: watch::Sender<Option<Instant>>,
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
            started: watch::channel(None).0,
            taken: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Records that the process has received the signal. Further signals change nothing.
    pub(crate) fn start(&self) {
        self.started.send_if_modified(|started| {
            let is_first = started.is_none();
            started.get_or_insert_with(Instant::now);
            is_first
        });
    }

    /// Returns the time since the signal; `None` while the entry is not draining.
    pub(crate) fn elapsed(&self) -> Option<Duration> {
        self.started.borrow().map(|started| started.elapsed())
    }

    /// Returns the time left until all calls should have ended; `None` while the entry is not draining.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let elapsed = self.elapsed()?;
        Some(self.policy.end().saturating_sub(elapsed))
    }

    /// Returns the policy of the drain.
    pub(crate) fn policy(&self) -> &DrainPolicy {
        &self.policy
    }

    /// Returns whether the entry takes a call that ends at `deadline` at the latest.
    pub(crate) fn takes(&self, deadline: Instant) -> bool {
        let Some(draining) = self.elapsed() else {
            return true;
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.policy.takes(draining, time_left)
    }

    /// Waits until the entry no longer takes a call that ends at `deadline` at the latest; for ever if it
    /// goes on to take it.
    pub(crate) async fn until_not_taken(&self, deadline: Instant) {
        let mut started = self.started.subscribe();
        let started = started.wait_for(Option::is_some).await;
        let Some(started) = started.ok().and_then(|started| *started) else {
            return std::future::pending().await;
        };
        let longest = deadline.saturating_duration_since(started);
        if longest <= self.policy.end() {
            return std::future::pending().await;
        }
        tokio::time::sleep_until(started + self.policy.open_time()).await;
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
