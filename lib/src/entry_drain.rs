//! The drain of an entry, from the signal to shut down until the process is killed.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::DrainPolicy;
use crate::as_ms::as_ms;
use crate::taking_clause::TakingClause;

/// The drain of an entry, from the signal to shut down until the process is killed.
#[derive(Debug)]
pub(crate) struct EntryDrain {
    policy: DrainPolicy,
    /// Earliest time at which the signal was sent; absent while the entry is not draining.
    started: watch::Sender<Option<Instant>>,
    /// Calls taken since the signal while all were.
    taken_in_open_time: AtomicU64,
    /// Calls taken later, since their deadline lay before the end.
    taken_by_deadline: AtomicU64,
    /// Calls refused since the signal because they might not have ended in time.
    refused: AtomicU64,
}

impl EntryDrain {
    /// Creates the drain of an entry that has not received the signal.
    pub(crate) fn new(policy: DrainPolicy) -> Self {
        Self {
            policy,
            started: watch::channel(None).0,
            taken_in_open_time: AtomicU64::new(0),
            taken_by_deadline: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Records that the process has received the signal, which was sent at `sent` at the earliest.
    /// Further signals change nothing.
    pub(crate) fn start(&self, sent: Instant) {
        self.started.send_if_modified(|started| {
            let is_first = started.is_none();
            started.get_or_insert(sent);
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
        let started = *self.started.borrow();
        started.is_none_or(|started| Instant::now() < self.taken_until(started, deadline))
    }

    fn taken_until(&self, started: Instant, deadline: Instant) -> Instant {
        let longest = deadline.saturating_duration_since(started);
        started + self.policy.taken_until(longest)
    }

    /// Returns the clause by which a call is taken now.
    pub(crate) fn clause(&self) -> TakingClause {
        match self.elapsed() {
            None => TakingClause::BeforeSignal,
            Some(draining) if draining < self.policy.open_time() => TakingClause::OpenTime,
            Some(_) => TakingClause::Deadline,
        }
    }

    /// Waits until the entry no longer takes a call that ends at `deadline` at the latest; for ever if the
    /// entry does not drain.
    pub(crate) async fn until_not_taken(&self, deadline: Instant) {
        let mut started = self.started.subscribe();
        let started = started.wait_for(Option::is_some).await;
        let Some(started) = started.ok().and_then(|started| *started) else {
            return std::future::pending().await;
        };
        tokio::time::sleep_until(self.taken_until(started, deadline)).await;
    }

    /// Counts a call that was taken since the signal.
    pub(crate) fn record_taken(&self, clause: TakingClause) {
        match clause {
            TakingClause::BeforeSignal => {}
            TakingClause::OpenTime => {
                self.taken_in_open_time.fetch_add(1, Ordering::Relaxed);
            }
            TakingClause::Deadline => {
                self.taken_by_deadline.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Counts a call that was refused since the signal.
    pub(crate) fn record_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls taken since the signal by a clause.
    pub(crate) fn taken_by(&self, clause: TakingClause) -> u64 {
        match clause {
            TakingClause::BeforeSignal => 0,
            TakingClause::OpenTime => self.taken_in_open_time.load(Ordering::Relaxed),
            TakingClause::Deadline => self.taken_by_deadline.load(Ordering::Relaxed),
        }
    }

    /// Returns the number of calls taken since the signal.
    pub(crate) fn taken(&self) -> u64 {
        self.taken_by(TakingClause::OpenTime) + self.taken_by(TakingClause::Deadline)
    }

    /// Returns the number of calls refused since the signal.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the time since the signal; zero while the entry is not draining.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        as_ms(self.elapsed().unwrap_or_default())
    }

    /// Returns a time relative to the signal, in milliseconds; negative before it.
    pub(crate) fn since_signal_ms(&self, at: Instant) -> String {
        let Some(started) = *self.started.borrow() else {
            return "none".to_owned();
        };
        if at < started {
            return format!("-{}", as_ms(started - at));
        }
        as_ms(at - started).to_string()
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
