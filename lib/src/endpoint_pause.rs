//! What an entry believes of the time for which an endpoint wants no calls.

use crate::RetryAfter;
use crate::SendObstacle;

/// Distance of the returns of two entries to an endpoint.
const RETURN_DISTANCE_MS: u64 = 50;
/// Bounds of the time within which all entries return.
const MIN_RETURN_TIME_MS: u64 = 100;
const MAX_RETURN_TIME_MS: u64 = 5_000;
/// Longest time for which one answer keeps calls from an endpoint.
const MAX_PAUSE_MS: u64 = 120_000;

/// What an entry believes of the time for which an endpoint wants no calls of this entry.
#[derive(Debug, Default)]
pub(crate) struct EndpointPause {
    /// The answer that asked for the longest time; absent once the endpoint takes calls as before.
    known: Option<KnownPause>,
    names_invalid: bool,
}

#[derive(Debug)]
struct KnownPause {
    /// Time of the answer.
    asked_ms: u64,
    /// End of the time that the answer asked for.
    until_ms: u64,
    /// Time from which on this entry sends calls again. Entries return one after the other.
    resume_ms: u64,
    /// Request that was answered so.
    request_id: String,
    /// Calls that were sent since `resume_ms` and have not ended.
    in_flight: u32,
    /// Most of them at once; each answer allows one more.
    max_in_flight: u32,
}

/// What an answer says of a pause, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PauseChange {
    /// The endpoint wants no calls for some time, longer than was known.
    Asked {
        /// Id of the endpoint.
        endpoint: String,
        /// Time that the answer asks for, as far as it is believed.
        length_ms: u64,
        /// Request that was answered so.
        request_id: String,
    },
    /// The endpoint names something that is not one number of seconds.
    Invalid {
        /// Id of the endpoint.
        endpoint: String,
        /// What the endpoint names.
        text: String,
        /// Request that was answered so.
        request_id: String,
    },
}

/// A pause of an endpoint, as far as an entry knows, for the log and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PauseStatus {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Service of the endpoint.
    pub service: String,
    /// Time since the answer that asked for the pause.
    pub age_ms: u64,
    /// Time until the end of the pause.
    pub left_ms: u64,
    /// Request that was answered so.
    pub request_id: String,
}

impl EndpointPause {
    /// Returns the longest time after a pause by which one of `entries` entries returns, so that they do
    /// so one after the other.
    pub(crate) fn longest_return_ms(entries: u32) -> u64 {
        let time_ms = u64::from(entries) * RETURN_DISTANCE_MS;
        time_ms.clamp(MIN_RETURN_TIME_MS, MAX_RETURN_TIME_MS)
    }

    /// Applies what an answer of the endpoint says; returns what is to be logged. This entry returns
    /// `return_delay_ms` after the end of the pause.
    pub(crate) fn observe(
        &mut self,
        endpoint: &str,
        retry_after: &RetryAfter,
        request_id: &str,
        return_delay_ms: u64,
        now_ms: u64,
    ) -> Vec<PauseChange> {
        let mut changes = Vec::new();
        if let RetryAfter::Invalid { text, .. } = retry_after
            && !std::mem::replace(&mut self.names_invalid, true)
        {
            changes.push(PauseChange::Invalid {
                endpoint: endpoint.to_owned(),
                text: text.clone(),
                request_id: request_id.to_owned(),
            });
        }
        if let RetryAfter::Ms(_) = retry_after {
            self.names_invalid = false;
        }
        let length_ms = retry_after.length_ms().unwrap_or(0).min(MAX_PAUSE_MS);
        let until_ms = now_ms + length_ms;
        if until_ms > self.until_ms().max(now_ms) {
            self.known = Some(KnownPause {
                asked_ms: now_ms,
                until_ms,
                resume_ms: until_ms + return_delay_ms,
                request_id: request_id.to_owned(),
                in_flight: 0,
                max_in_flight: 1,
            });
            changes.push(PauseChange::Asked {
                endpoint: endpoint.to_owned(),
                length_ms,
                request_id: request_id.to_owned(),
            });
        }
        changes
    }

    /// Returns the pause for the log and metrics, while it lasts.
    pub(crate) fn status(&self, endpoint: &str, service: &str, now_ms: u64) -> Option<PauseStatus> {
        let known = self.known.as_ref()?;
        let left_ms = known.until_ms.checked_sub(now_ms)?;
        Some(PauseStatus {
            endpoint: endpoint.to_owned(),
            service: service.to_owned(),
            age_ms: now_ms.saturating_sub(known.asked_ms),
            left_ms,
            request_id: known.request_id.clone(),
        })
    }

    /// Returns why the pause keeps a call from the endpoint now, if it does.
    pub(crate) fn obstacle(&self, now_ms: u64) -> Option<SendObstacle> {
        let known = self.known.as_ref()?;
        if now_ms < known.resume_ms {
            return Some(SendObstacle::Paused);
        }
        let is_waiting = known.in_flight >= known.max_in_flight;
        is_waiting.then_some(SendObstacle::Returning)
    }

    /// Returns how long this entry sends the endpoint nothing yet; zero outside a pause.
    pub(crate) fn wait_ms(&self, now_ms: u64) -> u64 {
        let known = self.known.as_ref();
        known.map_or(0, |known| known.resume_ms.saturating_sub(now_ms))
    }

    /// Records that a call is sent to the endpoint.
    pub(crate) fn record_send(&mut self, now_ms: u64) {
        if let Some(known) = &mut self.known
            && now_ms >= known.resume_ms
        {
            known.in_flight += 1;
        }
    }

    /// Records that the endpoint answers a call that was sent at `sent_ms`. Once it has answered as many
    /// as it has slots, it gets calls as before.
    pub(crate) fn record_answer(&mut self, sent_ms: u64, slots: u32) {
        let Some(known) = &mut self.known else {
            return;
        };
        if sent_ms >= known.resume_ms {
            known.max_in_flight += 1;
        }
        if known.max_in_flight > slots {
            self.known = None;
        }
    }

    /// Records that a call has ended that was sent at `sent_ms`.
    pub(crate) fn record_end(&mut self, sent_ms: u64) {
        if let Some(known) = &mut self.known
            && sent_ms >= known.resume_ms
        {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    fn until_ms(&self) -> u64 {
        self.known.as_ref().map_or(0, |known| known.until_ms)
    }
}
