//! Times of the events of a stream, as its caller sees them.

use std::time::Duration;

use tokio::time::Instant;

/// Why a stream is late, by the targets of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamLateness {
    /// The first event and all pauses are within their targets.
    OnTime,
    /// The first event came after its target.
    FirstEvent,
    /// A pause between events was longer than its target.
    Pause,
}

impl StreamLateness {
    /// Returns the name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::OnTime => "none",
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
        }
    }
}

/// Times of the events of a stream, over all endpoints that it came from.
#[derive(Debug, Default)]
pub(crate) struct StreamTimes {
    /// Time from the call's arrival to the first event; `None` before it.
    first_event: Option<Duration>,
    last_event: Option<Instant>,
    longest_pause: Duration,
}

impl StreamTimes {
    /// Records an event of a call that arrived at `arrived`.
    pub(crate) fn record_event(&mut self, arrived: Instant, now: Instant) {
        self.first_event.get_or_insert(now - arrived);
        if let Some(last_event) = self.last_event.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last_event);
        }
    }

    /// Returns when the last event came; `None` before the first one.
    pub(crate) fn last_event(&self) -> Option<Instant> {
        self.last_event
    }

    /// Returns the time to the first event, in milliseconds; zero before it.
    pub(crate) fn first_event_ms(&self) -> u128 {
        self.first_event.unwrap_or_default().as_millis()
    }

    /// Returns the longest pause between two events, in milliseconds.
    pub(crate) fn longest_pause_ms(&self) -> u128 {
        self.longest_pause.as_millis()
    }

    /// Returns why the stream is late; a target of zero is none.
    pub(crate) fn lateness(&self, first_event_ms: u64, pause_ms: u64) -> StreamLateness {
        let exceeds = |time_ms: u128, target_ms: u64| target_ms > 0 && time_ms > target_ms.into();
        if exceeds(self.first_event_ms(), first_event_ms) {
            StreamLateness::FirstEvent
        } else if exceeds(self.longest_pause_ms(), pause_ms) {
            StreamLateness::Pause
        } else {
            StreamLateness::OnTime
        }
    }
}
