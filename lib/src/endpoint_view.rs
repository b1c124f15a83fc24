//! The load of one endpoint, as an entry estimates it.

use crate::EndpointFlags;
use crate::EndpointId;
use crate::latency_model::LatencyModel;
use crate::protos::control::LoadReport;

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;

/// Divisor of a request's duration that gives the least time attributed to running, not queueing.
const MIN_OCCUPANCY_DIVISOR: u64 = 4;

/// The load of one endpoint, as an entry estimates it from the endpoint's last load report and its
/// own requests since then.
#[derive(Debug)]
pub(crate) struct EndpointView {
    pub(crate) id: EndpointId,
    /// Hash of the endpoint's name, which is the same at all entries.
    pub(crate) name_hash: u64,
    pub(crate) is_local: bool,
    pub(crate) flags: EndpointFlags,
    report: Option<LoadReport>,
    own_requests: Vec<OwnRequest>,
    /// Requests and prefill tokens of `own_requests` that are not in the last report.
    uncounted_requests: u64,
    uncounted_tokens: u64,
    /// Requests in the last report that have finished since then.
    finished_since_report: u64,
}

/// One request that this entry sent and that has not finished.
#[derive(Debug)]
struct OwnRequest {
    number: u64,
    sent_at_ms: u64,
    /// Queueing time that was predicted when the request was sent.
    queue_us: u64,
    prefill_tokens: u64,
    has_first_token: bool,
    /// The last report includes the request.
    is_counted: bool,
}

/// The predicted time to first token, by its parts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prediction {
    pub(crate) queue_us: u64,
    pub(crate) prefill_us: u64,
}

impl EndpointView {
    pub(crate) fn new(id: EndpointId, name_hash: u64, is_local: bool) -> Self {
        Self {
            id,
            name_hash,
            is_local,
            flags: EndpointFlags::default(),
            report: None,
            own_requests: Vec::new(),
            uncounted_requests: 0,
            uncounted_tokens: 0,
            finished_since_report: 0,
        }
    }

    /// Stores a load report, which includes the requests sent up to `made_at_ms`, if that is known.
    pub(crate) fn take_report(&mut self, report: LoadReport, made_at_ms: Option<u64>) {
        self.report = Some(report);
        self.finished_since_report = 0;
        for request in &mut self.own_requests {
            if made_at_ms.is_some_and(|made_at_ms| request.sent_at_ms <= made_at_ms) {
                request.is_counted = true;
            }
        }
        self.recount();
    }

    pub(crate) fn add_request(
        &mut self,
        number: u64,
        queue_us: u64,
        prefill_tokens: u64,
        now_ms: u64,
    ) {
        self.own_requests.push(OwnRequest {
            number,
            sent_at_ms: now_ms,
            queue_us,
            prefill_tokens,
            has_first_token: false,
            is_counted: false,
        });
        self.recount();
    }

    pub(crate) fn mark_first_token(&mut self, number: u64) {
        let request = self.own_requests.iter_mut().find(|r| r.number == number);
        if let Some(request) = request {
            request.has_first_token = true;
        }
        self.recount();
    }

    /// Removes a request that has ended. Returns the time for which it probably occupied a slot of
    /// the endpoint, if it had a first token.
    pub(crate) fn remove_request(&mut self, number: u64, now_ms: u64) -> Option<u64> {
        let position = self.own_requests.iter().position(|r| r.number == number)?;
        let request = self.own_requests.remove(position);
        if request.is_counted {
            self.finished_since_report += 1;
        }
        self.recount();
        let duration_us = now_ms
            .saturating_sub(request.sent_at_ms)
            .saturating_mul(US_PER_MS);
        let min_us = duration_us / MIN_OCCUPANCY_DIVISOR;
        request
            .has_first_token
            .then(|| duration_us.saturating_sub(request.queue_us).max(min_us))
    }

    /// Returns the estimated number of requests that are running or queued at the endpoint.
    pub(crate) fn load_requests(&self) -> u64 {
        self.counted_requests() + self.uncounted_requests
    }

    /// Returns the number of requests that this entry sent and that have not finished.
    pub(crate) fn own_request_count(&self) -> usize {
        self.own_requests.len()
    }

    /// Predicts the time to first token of a request for which `prefill_tokens` must be computed.
    pub(crate) fn predict(
        &self,
        prefill_tokens: u64,
        model: &LatencyModel,
        now_ms: u64,
    ) -> Prediction {
        let speed_per_s = self.prefill_tokens_per_s(model);
        let reported_tokens = self.report.map_or(0, |report| report.queued_tokens);
        let other_entries_tokens = self.estimate_for_other_entries(self.uncounted_tokens, model);
        let queued_tokens = reported_tokens
            .saturating_add(self.uncounted_tokens)
            .saturating_add(other_entries_tokens);
        let token_wait_us = time_us(queued_tokens, speed_per_s);
        let queue_us = token_wait_us
            .max(self.slot_wait_us(model))
            .max(self.oldest_wait_us(now_ms));
        Prediction {
            queue_us,
            prefill_us: time_us(prefill_tokens, speed_per_s),
        }
    }

    /// Returns the time until enough running requests have finished for one more to start.
    fn slot_wait_us(&self, model: &LatencyModel) -> u64 {
        let capacity = self.capacity(model);
        let other_entries_requests =
            self.estimate_for_other_entries(self.uncounted_requests, model);
        let ahead = (self.load_requests() + other_entries_requests + 1).saturating_sub(capacity);
        ahead.saturating_mul(model.mean_occupancy_us) / capacity
    }

    /// Estimates what other entries have sent since the last report, from what this entry sent.
    ///
    /// The estimate grows with the share of the capacity that the report shows as occupied: entries
    /// that find most endpoints full send to the same few others, whereas one request to an idle
    /// endpoint says nothing about other entries.
    fn estimate_for_other_entries(&self, own: u64, model: &LatencyModel) -> u64 {
        let capacity = self.capacity(model);
        let occupied = self.counted_requests().min(capacity);
        let other_entries = model.entry_count - 1;
        own.saturating_mul(other_entries).saturating_mul(occupied) / capacity
    }

    /// Returns the number of requests in the last report that have not finished since then.
    fn counted_requests(&self) -> u64 {
        let reported = self.report.map_or(0, |report| {
            u64::from(report.running_requests) + u64::from(report.queued_requests)
        });
        reported.saturating_sub(self.finished_since_report)
    }

    fn capacity(&self, model: &LatencyModel) -> u64 {
        let capacity = self
            .report
            .map(|report| report.capacity)
            .filter(|&capacity| capacity > 0)
            .unwrap_or(model.default_capacity);
        u64::from(capacity.max(1))
    }

    /// Returns the age of the oldest own request without a first token, which reveals a stalled
    /// endpoint.
    fn oldest_wait_us(&self, now_ms: u64) -> u64 {
        self.own_requests
            .iter()
            .find(|request| !request.has_first_token)
            .map_or(0, |request| {
                now_ms
                    .saturating_sub(request.sent_at_ms)
                    .saturating_mul(US_PER_MS)
            })
    }

    fn prefill_tokens_per_s(&self, model: &LatencyModel) -> u64 {
        self.report
            .map(|report| report.prefill_tokens_per_s)
            .filter(|&speed_per_s| speed_per_s > 0)
            .unwrap_or(model.default_prefill_tokens_per_s)
            .max(1)
    }

    fn recount(&mut self) {
        self.uncounted_requests = 0;
        self.uncounted_tokens = 0;
        for request in self.own_requests.iter().filter(|r| !r.is_counted) {
            self.uncounted_requests += 1;
            if !request.has_first_token {
                self.uncounted_tokens =
                    self.uncounted_tokens.saturating_add(request.prefill_tokens);
            }
        }
    }
}

fn time_us(tokens: u64, speed_per_s: u64) -> u64 {
    tokens.saturating_mul(US_PER_S) / speed_per_s
}
