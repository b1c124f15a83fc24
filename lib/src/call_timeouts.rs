//! How long one call may wait, for its answer or for parts of it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::AnswerTimes;
use crate::RouteRule;
use crate::as_ms::as_ms;

/// Shortest time in which an endpoint can serve a call.
const MIN_SERVICE: Duration = Duration::from_millis(40);
/// Share of the stream silence limit that a stream may be queued for its slot, in percent.
const STREAM_QUEUE_WAIT_PERCENT: u64 = 70;
/// Share of the stream silence limit after which a silent stream is resumed at another endpoint, in
/// percent.
const SILENCE_PERCENT: u64 = 75;
/// Lower bound of the silence after which callers are assumed to abandon a stream.
const MIN_SILENCE_LIMIT_MS: u64 = 2_000;
/// Silence after which callers abandon a stream, as a multiple of the route's target latency.
const SILENCE_LIMIT_TARGET_LATENCIES: u64 = 4;
/// The same, as a multiple of the route's longest pause between events.
const SILENCE_LIMIT_TARGET_PAUSES: u64 = 8;
/// Share of the time left after which a repeatable call is sent to another endpoint, in percent.
const RESEND_AFTER_PERCENT: u32 = 45;

/// How long one call may wait, for its answer or for parts of it.
pub(crate) struct CallTimeouts {
    pub(crate) rule: Arc<RouteRule>,
    pub(crate) deadline: Instant,
    pub(crate) answer_times: AnswerTimes,
}

impl CallTimeouts {
    /// Returns the time until the call's deadline.
    pub(crate) fn time_left_ms(&self) -> u64 {
        as_ms(self.deadline.saturating_duration_since(Instant::now()))
    }

    /// Returns whether an endpoint that is sent the call now is expected to serve it in time.
    pub(crate) fn has_time_left(&self) -> bool {
        self.deadline.saturating_duration_since(Instant::now()) > self.service_time()
    }

    /// Returns the time in which an endpoint is expected to answer the call, or to begin its stream.
    fn service_time(&self) -> Duration {
        if self.rule.repeatability.is_stream() {
            return MIN_SERVICE;
        }
        self.answer_times.expected(&self.rule.name).max(MIN_SERVICE)
    }

    /// Returns whether a call that was sent to `endpoints` endpoints may be sent to one more.
    pub(crate) fn has_attempt_left(&self, endpoints: usize) -> bool {
        !self.is_last_attempt(endpoints) && self.has_time_left()
    }

    /// Returns the longest time that the call may be queued for its slot, after a silence of `silent_ms`.
    pub(crate) fn max_queue_wait_ms(&self, silent_ms: u64) -> u64 {
        let left_ms = self.time_left_ms();
        let max_wait_ms = if self.rule.repeatability.is_stream() {
            let max_wait_ms = self.stream_silence_limit_ms() * STREAM_QUEUE_WAIT_PERCENT / 100;
            max_wait_ms.saturating_sub(silent_ms).min(left_ms)
        } else {
            left_ms
        };
        max_wait_ms.saturating_sub(as_ms(self.service_time()))
    }

    /// Returns the time until which a call that was sent to `endpoints` endpoints waits for the next part
    /// of the last one's answer. A call that may be repeated leaves time for another endpoint.
    pub(crate) fn resend_time(&self, endpoints: usize) -> Instant {
        if !self.may_move(endpoints) {
            return self.deadline;
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let timeout = if self.rule.repeatability.is_stream() {
            left.min(Duration::from_millis(self.stream_silence_limit_ms()))
        } else {
            left
        };
        Instant::now() + timeout * RESEND_AFTER_PERCENT / 100
    }

    /// Returns the time by which the next event of a stream must arrive that was sent to `endpoints`
    /// endpoints.
    pub(crate) fn event_deadline(&self, endpoints: usize) -> Instant {
        if !self.may_move(endpoints) {
            return self.deadline;
        }
        self.deadline.min(Instant::now() + self.longest_silence())
    }

    /// Returns the silence after which a stream is resumed at another endpoint.
    pub(crate) fn longest_silence(&self) -> Duration {
        Duration::from_millis(self.stream_silence_limit_ms() * SILENCE_PERCENT / 100)
    }

    /// Returns the silence after which callers are assumed to abandon a stream of the route.
    fn stream_silence_limit_ms(&self) -> u64 {
        let rule = &self.rule;
        MIN_SILENCE_LIMIT_MS
            .max(SILENCE_LIMIT_TARGET_LATENCIES * rule.target_latency_ms)
            .max(SILENCE_LIMIT_TARGET_PAUSES * rule.target_gap_ms)
    }

    fn may_move(&self, endpoints: usize) -> bool {
        !self.is_last_attempt(endpoints) && self.rule.repeatability.may_repeat()
    }

    fn is_last_attempt(&self, endpoints: usize) -> bool {
        let attempts = u32::try_from(endpoints).unwrap_or(u32::MAX);
        attempts >= self.rule.max_attempts
    }
}
