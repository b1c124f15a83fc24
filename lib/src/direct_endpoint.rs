//! Load and health of one endpoint, as seen by an entry that sends calls to it directly.

use std::sync::Arc;

use crate::EndpointRecord;
use crate::LimitChange;
use crate::LimitObservation;
use crate::SendObstacle;
use crate::SendResult;
use crate::endpoint_leaving::EndpointLeaving;
use crate::endpoint_limit::EndpointLimit;
use crate::endpoint_limit::LimitedEndpoint;
use crate::endpoint_pause::EndpointPause;
use crate::limit_division::ServiceDivision;
use crate::short_hash::short_hash;

/// Time for which an endpoint that turned a call away is avoided; it doubles with each further
/// rejection.
const FULL_PAUSE_MS: u64 = 60;
/// Number of the doublings at most. An endpoint without free slots has some again within a second.
const MAX_FULL_DOUBLINGS: u32 = 4;
/// Time for which an endpoint gets no calls after another process answered at its address.
const MISDIRECTED_PAUSE_MS: u64 = 1_000;
/// Time for which an unreachable endpoint gets no calls; it doubles with each consecutive failure.
const UNREACHABLE_PAUSE_MS: u64 = 250;
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// Weight of a new sample in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Weight of a new sample in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.2;
/// Assumed latency of an endpoint without samples.
const INITIAL_LATENCY_MS: f64 = 20.0;
/// Step time, in percent of the usual step time, from which an endpoint counts as slow.
const SLOW_ENDPOINT_PERCENT: u32 = 150;
const USUAL_STEP_TIME_PERCENT: u32 = 100;
/// Slots of an endpoint whose record states none.
const DEFAULT_SLOTS: u32 = 8;
/// Calls that are added to the load of an endpoint whose recent calls have all failed.
const FAILURE_PENALTY: f64 = 24.0;

/// Load and health of one endpoint, as seen by an entry that sends calls to it directly.
#[derive(Debug)]
pub(crate) struct DirectEndpoint {
    pub(crate) record: Arc<EndpointRecord>,
    /// Whether the endpoint is in the entry's availability zone.
    pub(crate) is_local: bool,
    /// Running calls of this entry.
    pub(crate) own_calls: u32,
    /// Running calls of other entries, as last reported by gossip.
    pub(crate) peer_calls: u32,
    /// Step time of the endpoint, in percent of the usual step time.
    pub(crate) slowdown_percent: u32,
    /// What is known of the limit that the endpoint names.
    pub(crate) limit: EndpointLimit,
    /// What is known of the time for which the endpoint wants no calls.
    pub(crate) pause: EndpointPause,
    /// Whether the endpoint has said that it leaves.
    pub(crate) leaving: EndpointLeaving,
    /// Hash of the id and the run of the endpoint.
    pub(crate) limit_key: u32,
    /// Share of the recent calls that failed, from 0 to 1.
    failure_rate: f64,
    mean_latency_ms: f64,
    consecutive_failures: u32,
    /// Rejections since the last answer, each of a call that was sent after the one before.
    consecutive_rejections: u32,
    /// Time of the latest of them.
    rejected_ms: u64,
    avoid_until_ms: u64,
}

impl DirectEndpoint {
    pub(crate) fn new(record: Arc<EndpointRecord>, is_local: bool) -> Self {
        let limit_key = short_hash(&format!("{}/{}", record.id, record.born_ms));
        Self {
            record,
            is_local,
            own_calls: 0,
            peer_calls: 0,
            slowdown_percent: USUAL_STEP_TIME_PERCENT,
            limit: EndpointLimit::default(),
            pause: EndpointPause::default(),
            leaving: EndpointLeaving::default(),
            limit_key,
            failure_rate: 0.0,
            mean_latency_ms: INITIAL_LATENCY_MS,
            consecutive_failures: 0,
            consecutive_rejections: 0,
            rejected_ms: 0,
            avoid_until_ms: 0,
        }
    }

    /// Applies what is known of the endpoint's limit; returns the change to log.
    pub(crate) fn observe_limit(
        &mut self,
        division: &ServiceDivision,
        observation: LimitObservation,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let limited = LimitedEndpoint {
            id: &self.record.id,
            key: self.limit_key,
            division,
        };
        self.limit.observe(limited, observation, now_ms)
    }

    /// Applies a round's division of limits among entries.
    pub(crate) fn divide_limit(&mut self, division: &ServiceDivision, now_ms: u64) {
        self.limit.divide(self.limit_key, division, now_ms);
    }

    /// Returns the running calls of this entry and those reported by other entries.
    pub(crate) fn calls(&self) -> u32 {
        self.own_calls + self.peer_calls
    }

    pub(crate) fn slots(&self) -> u32 {
        match self.record.slots {
            0 => DEFAULT_SLOTS,
            slots => slots,
        }
    }

    /// Returns why no call may be sent to the endpoint now; `None` if one may. All sends are decided here.
    ///
    /// Whether the endpoint is slow or avoided is a preference, for the choice among those that take calls.
    pub(crate) fn obstacle(&self, now_ms: u64) -> Option<SendObstacle> {
        if self.is_leaving() {
            return Some(SendObstacle::Leaving);
        }
        if let Some(obstacle) = self.pause.obstacle(now_ms) {
            return Some(obstacle);
        }
        if self.calls() >= self.slots() {
            return Some(SendObstacle::Full);
        }
        let has_permit = self.limit.has_permit(now_ms);
        (!has_permit).then_some(SendObstacle::Limited)
    }

    /// Returns whether the endpoint leaves, as its record or an answer of it says.
    pub(crate) fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.leaving.is_known()
    }

    /// Returns whether the endpoint takes calls, though not always at once: it neither leaves nor has it
    /// asked for a time without calls.
    pub(crate) fn is_open(&self, now_ms: u64) -> bool {
        !self.is_leaving() && self.pause.wait_ms(now_ms) == 0
    }

    /// Records that a call is sent to the endpoint.
    pub(crate) fn record_send(&mut self, now_ms: u64) {
        self.own_calls += 1;
        self.limit.take_permit(now_ms);
        self.pause.record_send(now_ms);
    }

    /// Records that a call has ended that was sent at `sent_ms`.
    pub(crate) fn record_end(&mut self, result: SendResult, sent_ms: u64, now_ms: u64) {
        self.own_calls = self.own_calls.saturating_sub(1);
        self.pause.record_end(sent_ms);
        if result == SendResult::Answered {
            self.pause.record_answer(sent_ms, self.slots());
        }
        self.record_result(result, now_ms.saturating_sub(sent_ms), now_ms);
    }

    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Returns whether the endpoint's agent reports it as slow. All ranks of a group wait for a
    /// slow one, and each further call there makes them wait longer.
    pub(crate) fn is_slow(&self) -> bool {
        self.slowdown_percent >= SLOW_ENDPOINT_PERCENT
    }

    /// Sets the step time that the agent reports, in percent; `None` stands for the usual time.
    pub(crate) fn set_slowdown(&mut self, slowdown_percent: Option<u32>) {
        self.slowdown_percent = slowdown_percent.unwrap_or(USUAL_STEP_TIME_PERCENT);
    }

    /// Returns the expected cost of one more call; the endpoint with the lowest cost is chosen.
    pub(crate) fn cost(&self, is_stream: bool) -> f64 {
        let calls = f64::from(self.calls()) + 1.0;
        let penalty = self.failure_rate * FAILURE_PENALTY;
        if is_stream {
            return calls + penalty;
        }
        (calls + penalty) * self.mean_latency_ms
    }

    /// Records the result of a send that took `elapsed_ms`.
    fn record_result(&mut self, result: SendResult, elapsed_ms: u64, now_ms: u64) {
        let is_failure = match result {
            SendResult::Abandoned | SendResult::GroupDown => return,
            SendResult::Answered => false,
            SendResult::Full => {
                self.record_rejection(now_ms.saturating_sub(elapsed_ms), now_ms);
                return;
            }
            SendResult::Misdirected => {
                self.avoid_for(MISDIRECTED_PAUSE_MS, now_ms);
                return;
            }
            SendResult::Failed | SendResult::Unreachable => true,
        };
        self.consecutive_rejections = 0;
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_WEIGHT * (sample - self.failure_rate);
        if result == SendResult::Unreachable {
            let doublings = self.consecutive_failures.min(MAX_PAUSE_DOUBLINGS);
            self.avoid_for(UNREACHABLE_PAUSE_MS << doublings, now_ms);
            self.consecutive_failures += 1;
            return;
        }
        self.consecutive_failures = 0;
        let elapsed_ms = f64::from(u32::try_from(elapsed_ms).unwrap_or(u32::MAX));
        self.mean_latency_ms += LATENCY_WEIGHT * (elapsed_ms - self.mean_latency_ms);
    }

    /// Records that the endpoint turned a call away that was sent at `sent_ms`.
    ///
    /// It answers rejections at once, so that it looks fast and free. Calls that were sent before an
    /// earlier rejection was known say nothing new.
    fn record_rejection(&mut self, sent_ms: u64, now_ms: u64) {
        if self.consecutive_rejections == 0 || sent_ms >= self.rejected_ms {
            let doublings = self.consecutive_rejections.min(MAX_FULL_DOUBLINGS);
            self.avoid_for(FULL_PAUSE_MS << doublings, now_ms);
            self.consecutive_rejections += 1;
            self.rejected_ms = now_ms;
        }
    }

    fn avoid_for(&mut self, pause_ms: u64, now_ms: u64) {
        self.avoid_until_ms = self.avoid_until_ms.max(now_ms + pause_ms);
    }
}
