//! The endpoints of one service and the queue of calls that wait for a slot at one of them.
//!
//! During a load spike the queue sheds load: a call that can't be served in time is refused at
//! once. Queued calls that can still be on time go before those that are late, and callers that
//! retry after a refusal go before new ones.

use std::collections::HashMap;
use std::sync::Arc;

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::DispatchDecision;
use crate::DispatchQuery;
use crate::EndpointRecord;
use crate::EngineModel;
use crate::LeavingChange;
use crate::LimitChange;
use crate::LimitObservation;
use crate::LimitSource;
use crate::NamedLimit;
use crate::PauseChange;
use crate::PeerDemand;
use crate::RefusalCode;
use crate::RetryAfter;
use crate::SendResult;
use crate::StreamConcurrencyLimit;
use crate::as_f64::as_f64;
use crate::call_queue::CallQueue;
use crate::call_queue::QueuedCall;
use crate::demand_rate::DemandRate;
use crate::direct_endpoint::DirectEndpoint;
use crate::endpoint_limit::EndpointLimit;
use crate::endpoint_pause::EndpointPause;
use crate::expected_wait::ExpectedWait;
use crate::expected_wait::MIN_RETRY_AFTER_MS;
use crate::group_progress::GroupProgress;
use crate::hold_time::HoldTime;
use crate::limit_division::ServiceDivision;
use crate::permit_forecast::PermitForecast;
use crate::service_endpoints::ServiceEndpoints;

/// Longest time that a call is queued for a slot.
const MAX_WAIT_MS: u64 = 1_500;
/// Shortest retry delay that is returned while the rank group is stalled or down.
const STALL_RETRY_AFTER_MS: u64 = 2_000;
/// What a call expects when no endpoint stays.
const NO_ENDPOINT: ExpectedWait = no_wait(RefusalCode::NoEndpoint, MIN_RETRY_AFTER_MS);

/// Assigns the calls of one service to its endpoints, and queues or refuses them when all are busy.
#[derive(Debug)]
pub(crate) struct DirectService {
    rng: SmallRng,
    endpoints: ServiceEndpoints,
    running: HashMap<u64, RunningCall>,
    queue: CallQueue,
    /// Limit on the calls per endpoint; absent without an engine model.
    concurrency_limit: Option<StreamConcurrencyLimit>,
    peer_demand: PeerDemand,
    /// Number of other entries that accept new calls.
    peer_count: u32,
    /// For how long a call holds its slot.
    hold_time: HoldTime,
    /// Whether the rank group of the service makes progress.
    progress: GroupProgress,
    /// How the entries divide the limits of the endpoints.
    division: ServiceDivision,
    demand_rate: DemandRate,
}

/// A call that holds a slot at an endpoint.
#[derive(Debug)]
struct RunningCall {
    endpoint: String,
    /// Start of the endpoint's run, which an answer is from.
    endpoint_born_ms: u64,
    since_ms: u64,
}

impl RunningCall {
    /// Returns whether the call is at this run of an endpoint.
    fn is_at(&self, record: &EndpointRecord) -> bool {
        self.endpoint == record.id && self.endpoint_born_ms == record.born_ms
    }
}

impl DirectService {
    /// Creates a service without endpoints.
    pub(crate) fn new(availability_zone: &str, rng: SmallRng, division: ServiceDivision) -> Self {
        Self {
            rng,
            endpoints: ServiceEndpoints::new(availability_zone),
            running: HashMap::new(),
            queue: CallQueue::default(),
            concurrency_limit: None,
            peer_demand: PeerDemand::default(),
            peer_count: 0,
            hold_time: HoldTime::default(),
            progress: GroupProgress::default(),
            division,
            demand_rate: DemandRate::default(),
        }
    }

    /// Replaces the endpoints of the service; statistics of endpoints that remain are kept.
    pub(crate) fn set_endpoints(&mut self, records: Vec<Arc<EndpointRecord>>, now_ms: u64) {
        let running = &self.running;
        let running_calls = |record: &EndpointRecord| {
            let at_endpoint = running.values().filter(|running| running.is_at(record));
            as_u32(at_endpoint.count())
        };
        self.endpoints.set(records, running_calls, now_ms);
        self.endpoints.set_peer_calls(&self.peer_demand.by_endpoint);
    }

    /// Sets the engine model of the service; `None` for a service without one.
    pub(crate) fn set_engine(&mut self, model: Option<&EngineModel>) {
        let is_rank_group = model.is_some_and(|model| model.experts.is_some());
        self.progress.set_rank_group(is_rank_group);
        if let Some(model) = model {
            self.hold_time.assume(model);
        }
        match (&mut self.concurrency_limit, model) {
            (Some(limit), Some(model)) => limit.set_model(model.clone()),
            (limit, model) => *limit = model.cloned().map(StreamConcurrencyLimit::new),
        }
    }

    /// Sets the longest pause between events of a stream that is on time; zero changes nothing.
    pub(crate) fn set_target_pause_ms(&mut self, target_pause_ms: u64) {
        if let Some(limit) = &mut self.concurrency_limit {
            limit.set_target_pause_ms(target_pause_ms);
        }
    }

    /// Sets the number of other entries that accept calls and their in-flight calls.
    pub(crate) fn set_peer_demand(&mut self, peer_count: u32, peer_demand: PeerDemand) {
        self.endpoints.set_peer_calls(&peer_demand.by_endpoint);
        self.peer_demand = peer_demand;
        self.peer_count = peer_count;
    }

    /// Sets the step times of slow endpoints, in percent of the usual step time, by short hash of
    /// their address; all other endpoints take the usual time.
    pub(crate) fn set_slowdowns(&mut self, slowdowns: &HashMap<u32, u32>) {
        self.endpoints.set_slowdowns(slowdowns);
    }

    /// Returns the ids of the slow endpoints; none when all endpoints are slow.
    pub(crate) fn slow_endpoints(&self) -> impl Iterator<Item = String> {
        self.endpoints.slow()
    }

    /// Returns whether an endpoint is slow.
    pub(crate) fn is_slow(&self, id: &str) -> bool {
        self.endpoints.is_slow(id)
    }

    /// Updates the concurrency limit with the mean of `count` pauses between stream events.
    pub(crate) fn observe_pauses(&mut self, mean_pause_ms: f64, count: u32, now_ms: u64) {
        let requests = self.calls_per_endpoint(now_ms);
        if let Some(limit) = &mut self.concurrency_limit {
            limit.observe(mean_pause_ms, count, requests);
        }
    }

    /// Records that a running call has made progress.
    pub(crate) fn record_progress(&mut self, now_ms: u64) {
        self.progress.record_progress(now_ms);
    }

    /// Returns whether the ranks of the service are stalled: calls run, and none makes progress.
    ///
    /// Moving a call to another rank does not help then.
    pub(crate) fn is_stalled(&self, now_ms: u64) -> bool {
        !self.running.is_empty() && self.progress.is_stalled(now_ms)
    }

    /// Returns whether the rank group of the service was down at last contact.
    pub(crate) fn is_down(&self) -> bool {
        self.progress.is_down()
    }

    /// Assigns a call to an endpoint or refuses it; returns `None` when the call is queued.
    pub(crate) fn request_endpoint(
        &mut self,
        query: DispatchQuery,
        now_ms: u64,
    ) -> Option<DispatchDecision> {
        if self.endpoints.all_leave() {
            return Some(self.decide_refusal(NO_ENDPOINT, now_ms));
        }
        if query.is_first {
            self.demand_rate.record();
        }
        let expected = self.expected_wait(&query, now_ms);
        let wait_ms = expected.wait_ms;
        let until_ms = query.useful_until_ms.min(now_ms + MAX_WAIT_MS);
        if wait_ms > 0 && now_ms.saturating_add(wait_ms) > until_ms {
            return Some(self.refuse(expected, now_ms));
        }
        if wait_ms == 0
            && let Some(decision) = self.try_assign(&query, now_ms)
        {
            return Some(decision);
        }
        self.queue.push(QueuedCall {
            query,
            since_ms: now_ms,
            until_ms,
        });
        None
    }

    /// Ends a running or queued call; does nothing for an unknown one.
    pub(crate) fn end(&mut self, call: u64, result: SendResult, now_ms: u64) {
        self.queue.remove(call);
        let Some(running) = self.running.remove(&call) else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(running.since_ms);
        match result {
            SendResult::GroupDown => self.progress.record_group_down(now_ms),
            SendResult::Answered => self.record_progress(now_ms),
            _ => {}
        }
        if result == SendResult::Answered {
            self.hold_time.record(as_f64(elapsed_ms));
        }
        let endpoint = self.endpoints.get_mut(&running.endpoint);
        let is_same_run =
            |endpoint: &&mut DirectEndpoint| endpoint.record.born_ms == running.endpoint_born_ms;
        if let Some(endpoint) = endpoint.filter(is_same_run) {
            endpoint.record_end(result, running.since_ms, now_ms);
        }
    }

    /// Assigns free slots to queued calls and refuses those that have waited too long.
    pub(crate) fn advance(&mut self, now_ms: u64) -> Vec<(u64, DispatchDecision)> {
        let mut decisions = Vec::new();
        if self.is_stalled(now_ms) {
            self.progress.record_stall(now_ms);
        }
        self.assign_queued(now_ms, &mut decisions);
        self.refuse_late(now_ms, &mut decisions);
        self.refuse_expired(now_ms, &mut decisions);
        decisions
    }

    /// Assigns free slots to queued calls. A call that may not go to some endpoints does not hold up
    /// those after it.
    fn assign_queued(&mut self, now_ms: u64, decisions: &mut Vec<(u64, DispatchDecision)>) {
        let mut left = Vec::new();
        while let Some(queued) = self.queue.take_next(now_ms) {
            if let Some(decision) = self.try_assign(&queued.query, now_ms) {
                decisions.push((queued.query.call, decision));
                continue;
            }
            let is_restricted = !queued.query.exclude.is_empty();
            left.push(queued);
            if !is_restricted {
                break;
            }
        }
        self.queue.put_back(left);
    }

    /// Refuses queued calls that have waited too long.
    fn refuse_expired(&mut self, now_ms: u64, decisions: &mut Vec<(u64, DispatchDecision)>) {
        let retry_after_ms = self.retry_after_ms(to_ms(self.hold_time.mean_ms()));
        let expected = no_wait(RefusalCode::Overloaded, retry_after_ms);
        for queued in self.queue.take_expired(now_ms) {
            let decision = self.decide_refusal(expected, now_ms);
            decisions.push((queued.query.call, decision));
        }
    }

    /// Refuses queued calls that get no permit in time, none before the end of all pauses, or none at all
    /// because all endpoints leave.
    fn refuse_late(&mut self, now_ms: u64, decisions: &mut Vec<(u64, DispatchDecision)>) {
        if self.endpoints.all_leave() {
            for queued in self.queue.take_all(now_ms) {
                let decision = self.decide_refusal(NO_ENDPOINT, now_ms);
                decisions.push((queued.query.call, decision));
            }
            return;
        }
        let pause = self.pause_wait(&[], now_ms);
        let forecast = self.endpoints.permit_forecast(&[], now_ms);
        if pause.is_none() && forecast.is_none() {
            return;
        }
        for queued in self.queue.take_all(now_ms) {
            let expected = pause.unwrap_or_else(|| {
                self.expected_wait_behind(self.queue.len(), forecast.as_ref(), now_ms)
            });
            if now_ms.saturating_add(expected.wait_ms) > queued.until_ms {
                decisions.push((queued.query.call, self.refuse(expected, now_ms)));
            } else {
                self.queue.push(queued);
            }
        }
    }

    /// Refuses a call that would have to wait too long.
    fn refuse(&mut self, expected: ExpectedWait, now_ms: u64) -> DispatchDecision {
        if expected.code == RefusalCode::EndpointsLimited {
            for endpoint in self.endpoints.iter_mut() {
                endpoint.limit.count_refused(now_ms);
            }
        }
        self.decide_refusal(expected, now_ms)
    }

    /// Returns the refusal of a call, with what keeps calls from the endpoints.
    fn decide_refusal(&self, expected: ExpectedWait, now_ms: u64) -> DispatchDecision {
        DispatchDecision::Refuse {
            code: expected.code,
            retry_after_ms: expected.retry_delay_ms(),
            obstacles: self.endpoints.obstacles(now_ms),
        }
    }

    /// Returns after which time a call that is refused now should come again.
    pub(crate) fn room_after_ms(&self, now_ms: u64) -> u64 {
        let expected = self.pause_wait(&[], now_ms).unwrap_or_else(|| {
            let forecast = self.endpoints.permit_forecast(&[], now_ms);
            self.expected_wait_behind(self.queue.len(), forecast.as_ref(), now_ms)
        });
        expected.retry_delay_ms()
    }

    /// Returns the number of this entry's calls, running and queued.
    pub(crate) fn demand(&self) -> u32 {
        as_u32(self.running.len() + self.queue.len())
    }

    /// Returns the number of this entry's running calls, by endpoint id.
    pub(crate) fn own_calls(&self) -> impl Iterator<Item = (&str, u32)> {
        let endpoints = self.endpoints.iter();
        let busy = endpoints.filter(|endpoint| endpoint.own_calls > 0);
        busy.map(|endpoint| (endpoint.record.id.as_str(), endpoint.own_calls))
    }

    /// Assigns a call to an endpoint if this entry's share of the slots allows it.
    fn try_assign(&mut self, query: &DispatchQuery, now_ms: u64) -> Option<DispatchDecision> {
        if as_f64(self.running.len()) >= self.own_slot_share(now_ms) || self.is_paused(now_ms) {
            return None;
        }
        self.assign(query, now_ms).map(DispatchDecision::Send)
    }

    /// Assigns a call to the best endpoint with room, whatever this entry's share of the slots.
    pub(crate) fn assign(
        &mut self,
        query: &DispatchQuery,
        now_ms: u64,
    ) -> Option<Arc<EndpointRecord>> {
        let id = self.endpoints.choose(query, &mut self.rng, now_ms)?;
        let record = self.endpoints.record_send(&id, now_ms)?;
        if self.running.is_empty() {
            self.progress.record_first_call(now_ms);
        }
        self.running.insert(
            query.call,
            RunningCall {
                endpoint: id,
                endpoint_born_ms: record.born_ms,
                since_ms: now_ms,
            },
        );
        Some(record)
    }

    /// Returns whether sending is paused: while a rank group is down, one call at a time is sent as
    /// a probe, and the others wait for its result.
    pub(crate) fn is_paused(&self, now_ms: u64) -> bool {
        let sent_ms = self.running.values().map(|running| running.since_ms);
        self.progress.is_paused(now_ms, sent_ms)
    }

    /// Records that an endpoint has begun to answer a call.
    pub(crate) fn record_answer_start(&mut self, call: u64, now_ms: u64) {
        let Some(running) = self.running.get(&call) else {
            return;
        };
        self.progress.record_answer_start(now_ms);
        if let Some(endpoint) = self.endpoints.get_mut(&running.endpoint) {
            let slots = endpoint.slots();
            endpoint.pause.record_answer(running.since_ms, slots);
        }
    }

    /// Records what the answer to a running call says about its endpoint's limit; returns the change
    /// to log.
    ///
    /// An answer to a call that was sent before the limit became known does not lift it: the endpoint
    /// may have begun the answer before it named the limit.
    pub(crate) fn observe_limit(
        &mut self,
        call: u64,
        named: &NamedLimit,
        request_id: &str,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let running = self.running.get(&call)?;
        let endpoint = self.endpoints.get_mut(&running.endpoint)?;
        if endpoint.record.born_ms != running.endpoint_born_ms {
            return None;
        }
        let source = LimitSource::Answer(request_id.to_owned());
        let calls_per_s = match named {
            NamedLimit::CallsPerS(calls_per_s) => Some(*calls_per_s),
            NamedLimit::None => {
                let known_ms = endpoint.limit.observed_ms()?;
                if running.since_ms < known_ms {
                    return None;
                }
                None
            }
            NamedLimit::Invalid(text) => {
                return endpoint
                    .limit
                    .observe_invalid(&running.endpoint, text, source);
            }
        };
        let observation = LimitObservation {
            calls_per_s,
            observed_ms: now_ms,
            source,
        };
        let change = endpoint.observe_limit(&self.division, observation, now_ms);
        self.endpoints.check_for_limits();
        change
    }

    /// Records for how long the endpoint of a running call wants no calls of this entry, as its answer
    /// says; returns what is to be logged.
    pub(crate) fn observe_retry_after(
        &mut self,
        call: u64,
        retry_after: &RetryAfter,
        request_id: &str,
        now_ms: u64,
    ) -> Vec<PauseChange> {
        let longest_return_ms = EndpointPause::longest_return_ms(self.peer_count + 1);
        let return_delay_ms = self.rng.random_range(0..=longest_return_ms);
        let endpoint = self.endpoint_of_call(call);
        endpoint.map_or_else(Vec::new, |endpoint| {
            let id = endpoint.record.id.as_str();
            let pause = &mut endpoint.pause;
            pause.observe(id, retry_after, request_id, return_delay_ms, now_ms)
        })
    }

    /// Records that the endpoint of a running call says that it leaves; returns what is to be logged.
    pub(crate) fn observe_leaving(
        &mut self,
        call: u64,
        request_id: &str,
        now_ms: u64,
    ) -> Option<LeavingChange> {
        let endpoint = self.endpoint_of_call(call)?;
        let is_first = endpoint.leaving.observe(now_ms);
        is_first.then(|| LeavingChange {
            endpoint: endpoint.record.id.clone(),
            service: endpoint.record.service.clone(),
            request_id: request_id.to_owned(),
        })
    }

    /// Returns the endpoint to which a running call was sent, listed or not, in the same run.
    fn endpoint_of_call(&mut self, call: u64) -> Option<&mut DirectEndpoint> {
        let running = self.running.get(&call)?;
        self.endpoints
            .get_run_mut(&running.endpoint, running.endpoint_born_ms)
    }

    /// Applies what is known of the limit of the endpoint with this key, if it is one of the service;
    /// returns the change to log.
    pub(crate) fn apply_limit(
        &mut self,
        key: u32,
        observation: LimitObservation,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let endpoint = self.endpoints.with_limit_key_mut(key)?;
        let change = endpoint.observe_limit(&self.division, observation, now_ms);
        self.endpoints.check_for_limits();
        change
    }

    /// Applies a round's division of limits among entries.
    pub(crate) fn divide_limits(&mut self, division: ServiceDivision, now_ms: u64) {
        self.division = division;
        for endpoint in self.endpoints.iter_mut() {
            endpoint.divide_limit(&division, now_ms);
        }
    }

    /// Returns the new calls in 10 s, a few at least; `None` while no endpoint names a
    /// limit, or they have not been counted for long enough.
    pub(crate) fn report_demand(&mut self, now_ms: u64) -> Option<u32> {
        let new_calls_per_10_s = self.demand_rate.report(now_ms);
        new_calls_per_10_s.filter(|_| self.endpoints.has_limits())
    }

    /// Returns the endpoints of the service.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &DirectEndpoint> {
        self.endpoints.iter()
    }

    /// Returns the endpoint with this id.
    pub(crate) fn endpoint(&self, id: &str) -> Option<&DirectEndpoint> {
        self.endpoints.get(id)
    }

    /// Returns whether an endpoint that is not in `exclude` accepts calls.
    pub(crate) fn has_alternative(&self, exclude: &[String], now_ms: u64) -> bool {
        self.endpoints.has_alternative(exclude, now_ms)
    }

    /// Predicts how long a call waits for a slot and a permit; zero when it can be sent now.
    fn expected_wait(&self, query: &DispatchQuery, now_ms: u64) -> ExpectedWait {
        if let Some(wait) = self.pause_wait(&query.exclude, now_ms) {
            return ExpectedWait {
                retry_after_ms: self.room_after_ms(now_ms),
                ..wait
            };
        }
        let ahead = self.queue.count_ahead_of(query, now_ms);
        let forecast = self.endpoints.permit_forecast(&query.exclude, now_ms);
        self.expected_wait_behind(ahead, forecast.as_ref(), now_ms)
    }

    /// Predicts how long a call waits while all endpoints outside `exclude` have asked for a time without
    /// calls; `None` if one takes calls, or there is none.
    fn pause_wait(&self, exclude: &[String], now_ms: u64) -> Option<ExpectedWait> {
        let wait_ms = self.endpoints.pause_ms(exclude, now_ms)?;
        Some(ExpectedWait {
            wait_ms,
            retry_after_ms: wait_ms,
            code: RefusalCode::EndpointsPaused,
        })
    }

    /// Predicts how long a call waits with `ahead` queued calls before it.
    fn expected_wait_behind(
        &self,
        ahead: usize,
        forecast: Option<&PermitForecast>,
        now_ms: u64,
    ) -> ExpectedWait {
        let slot_wait_ms = self.slot_wait_ms(ahead, now_ms);
        let slot_wait = ExpectedWait {
            wait_ms: slot_wait_ms,
            retry_after_ms: self.retry_after_ms(slot_wait_ms),
            code: RefusalCode::Overloaded,
        };
        let Some(forecast) = forecast else {
            return slot_wait;
        };
        let permit_wait_ms = forecast.wait_ms(ahead).unwrap_or(u64::MAX);
        if permit_wait_ms <= slot_wait_ms {
            return slot_wait;
        }
        ExpectedWait {
            wait_ms: permit_wait_ms,
            retry_after_ms: forecast.retry_after_ms(ahead, self.peer_count + 1),
            code: RefusalCode::EndpointsLimited,
        }
    }

    /// Predicts how long a call waits for a slot with `ahead` queued calls before it.
    fn slot_wait_ms(&self, ahead: usize, now_ms: u64) -> u64 {
        let own_slots = self.own_slot_share(now_ms);
        let ahead = as_f64(ahead + self.running.len()) + 1.0 - own_slots;
        if ahead <= 0.0 {
            return 0;
        }
        let wait_ms = ahead * self.hold_time.mean_ms() / own_slots;
        to_ms(wait_ms).max(1)
    }

    /// Returns how many slots this entry may use: a share in proportion to its demand.
    fn own_slot_share(&self, now_ms: u64) -> f64 {
        let own = f64::from(self.demand()) + 1.0;
        let peers = f64::from(self.peer_demand.calls) + f64::from(self.peer_count);
        let share = own / (own + peers);
        (self.usable_slots(now_ms) * share).max(1.0)
    }

    /// Returns the slots of all eligible endpoints within the concurrency limit.
    fn usable_slots(&self, now_ms: u64) -> f64 {
        let limit = |endpoint: &DirectEndpoint| {
            let slots = f64::from(endpoint.slots());
            let limited = self
                .concurrency_limit
                .as_ref()
                .map(StreamConcurrencyLimit::slots_per_endpoint);
            let slots = limited.map_or(slots, |limited| limited.min(slots));
            self.slots_within_limit(&endpoint.limit).min(slots)
        };
        self.endpoints.eligible(now_ms).map(limit).sum()
    }

    /// Returns how many calls run at once at an endpoint that gets as many as its limit allows.
    fn slots_within_limit(&self, limit: &EndpointLimit) -> f64 {
        let calls_per_s = limit.sent_calls_per_s();
        calls_per_s.map_or(f64::INFINITY, |calls_per_s| {
            self.hold_time.slots_at(calls_per_s)
        })
    }

    fn calls_per_endpoint(&self, now_ms: u64) -> f64 {
        let calls: u32 = self.endpoints.iter().map(DirectEndpoint::calls).sum();
        f64::from(calls) / as_f64(self.endpoints.eligible(now_ms).count().max(1))
    }

    /// Returns the retry delay of a refused call that would wait `wait_ms` for its slot.
    fn retry_after_ms(&self, wait_ms: u64) -> u64 {
        if self.is_down() {
            return wait_ms.max(STALL_RETRY_AFTER_MS);
        }
        wait_ms
    }
}

/// Returns the expectation of a call that does not wait.
const fn no_wait(code: RefusalCode, retry_after_ms: u64) -> ExpectedWait {
    ExpectedWait {
        wait_ms: 0,
        retry_after_ms,
        code,
    }
}

fn as_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Converts non-negative milliseconds to whole ones.
fn to_ms(value_ms: f64) -> u64 {
    std::time::Duration::try_from_secs_f64(value_ms / 1e3).map_or(u64::MAX, |value| {
        u64::try_from(value.as_millis()).unwrap_or(u64::MAX)
    })
}
