//! The endpoints of one service, and the calls that wait for a place at one of them.
//!
//! Answers the load of a rush: a call that can't be served in time is refused at once, one that
//! can still be on time goes before one that is late, and a caller that was refused and came back
//! goes before a new one.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::DispatchDecision;
use crate::DispatchQuery;
use crate::EndpointRecord;
use crate::EngineModel;
use crate::RefusalCode;
use crate::SendResult;
use crate::StreamConcurrencyLimit;
use crate::direct_endpoint::DirectEndpoint;
use crate::short_hash::short_hash;

/// Time for which a call holds its place, until some have ended or an engine's model is known.
const INITIAL_HOLD_TIME_MS: f64 = 300.0;
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// Longest time that a call is let wait for a place.
const MAX_WAIT_MS: u64 = 1_500;
/// Time between two calls that are sent to see whether a rank group is up again.
const GROUP_DOWN_PAUSE_MS: u64 = 150;
/// Time without any event of a running call after which a rank group stands still.
const STALL_TIMEOUT_MS: u64 = 400;
/// When a call may come back that found the rank group at a standstill.
const STALL_RETRY_AFTER_MS: u64 = 2_000;
const MIN_RETRY_AFTER_MS: u64 = 150;
const MAX_RETRY_AFTER_MS: u64 = 2_500;
/// Slots of an endpoint that publishes none.
const DEFAULT_SLOTS: u32 = 8;

/// What other entries have in hand of one service, by their last words.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerDemand {
    /// Their calls, running and waiting.
    pub calls: u32,
    /// Their running calls by the short name of the endpoint.
    pub by_endpoint: HashMap<u32, u32>,
}

/// The endpoints of one service and the calls that wait for them.
#[derive(Debug)]
pub(crate) struct DirectService {
    availability_zone: String,
    rng: SmallRng,
    endpoints: BTreeMap<String, DirectEndpoint>,
    running: HashMap<u64, Running>,
    waiting: Vec<Waiting>,
    concurrency_limit: Option<StreamConcurrencyLimit>,
    peer_demand: PeerDemand,
    /// Other entries that take new work.
    peer_count: u32,
    mean_hold_time_ms: f64,
    /// A call has ended, so that the mean is no guess any more.
    has_hold_time_sample: bool,
    /// Until when no call is sent, since a rank group of the service is down.
    paused_until_ms: u64,
    /// The group was down when last heard of: one call at a time is sent to see.
    is_down: bool,
    /// The endpoints run in lock-step, so that all of them stand still when one does.
    is_rank_group: bool,
    /// Since when no running call has made progress.
    no_progress_since_ms: u64,
}

#[derive(Debug)]
struct Running {
    endpoint: String,
    since_ms: u64,
}

#[derive(Debug)]
struct Waiting {
    query: DispatchQuery,
    since_ms: u64,
    until_ms: u64,
}

impl DirectService {
    pub(crate) fn new(availability_zone: &str, rng: SmallRng) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            rng,
            endpoints: BTreeMap::new(),
            running: HashMap::new(),
            waiting: Vec::new(),
            concurrency_limit: None,
            peer_demand: PeerDemand::default(),
            peer_count: 0,
            mean_hold_time_ms: INITIAL_HOLD_TIME_MS,
            has_hold_time_sample: false,
            paused_until_ms: 0,
            is_down: false,
            is_rank_group: false,
            no_progress_since_ms: 0,
        }
    }

    /// Takes over the endpoints of the service; what is known of those that stay is kept.
    pub(crate) fn set_endpoints(&mut self, records: Vec<Arc<EndpointRecord>>) {
        let mut before = std::mem::take(&mut self.endpoints);
        for record in records {
            let known = before.remove(&record.id);
            let known = known.filter(|known| known.record.born_ms == record.born_ms);
            let is_local = record.availability_zone == self.availability_zone;
            let mut endpoint =
                known.unwrap_or_else(|| DirectEndpoint::new(Arc::clone(&record), is_local));
            endpoint.record = record;
            self.endpoints.insert(endpoint.record.id.clone(), endpoint);
        }
        self.set_peer_demand(self.peer_count, self.peer_demand.clone());
    }

    pub(crate) fn set_engine(&mut self, model: Option<&EngineModel>) {
        self.is_rank_group = model.is_some_and(|model| model.experts.is_some());
        if let Some(model) = model.filter(|_| !self.has_hold_time_sample) {
            self.mean_hold_time_ms = model.mean_answer_ms().max(INITIAL_HOLD_TIME_MS);
        }
        match (&mut self.concurrency_limit, model) {
            (Some(limit), Some(model)) => limit.set_model(model.clone()),
            (limit, model) => *limit = model.cloned().map(StreamConcurrencyLimit::new),
        }
    }

    pub(crate) fn set_target_pause_ms(&mut self, target_pause_ms: u64) {
        if let Some(limit) = &mut self.concurrency_limit {
            limit.set_target_pause_ms(target_pause_ms);
        }
    }

    pub(crate) fn set_peer_demand(&mut self, peer_count: u32, peer_demand: PeerDemand) {
        for (id, endpoint) in &mut self.endpoints {
            let calls = peer_demand.by_endpoint.get(&short_hash(id)).copied();
            endpoint.peer_calls = calls.unwrap_or(0);
        }
        self.peer_demand = peer_demand;
        self.peer_count = peer_count;
    }

    /// Takes in the paces of slow endpoints, by the hash of their address.
    pub(crate) fn set_slowdowns(&mut self, slowdowns: &HashMap<u32, u32>) {
        for endpoint in self.endpoints.values_mut() {
            let slowdown_percent = slowdowns.get(&short_hash(&endpoint.record.address));
            endpoint.set_slowdown(slowdown_percent.copied());
        }
    }

    /// Returns the ids of the slow endpoints, unless all are.
    pub(crate) fn slow_endpoints(&self) -> impl Iterator<Item = String> {
        let all_slow = self.endpoints.values().all(DirectEndpoint::is_slow);
        let endpoints = self.endpoints.iter();
        let slow = endpoints.filter(move |(_, endpoint)| !all_slow && endpoint.is_slow());
        slow.map(|(id, _)| id.clone())
    }

    /// Returns whether an endpoint is slow.
    pub(crate) fn is_slow(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(DirectEndpoint::is_slow)
    }

    /// Takes in the mean of the last pauses between events of streams.
    pub(crate) fn observe_pauses(&mut self, mean_pause_ms: f64, count: u32) {
        let requests = self.calls_per_endpoint();
        if let Some(limit) = &mut self.concurrency_limit {
            limit.observe(mean_pause_ms, count, requests);
        }
    }

    /// Notes that a running call has made progress.
    pub(crate) fn record_progress(&mut self, now_ms: u64) {
        self.no_progress_since_ms = now_ms;
        if now_ms >= self.paused_until_ms {
            self.is_down = false;
        }
    }

    /// Returns whether the ranks of the service stand still: calls run, and none makes progress.
    ///
    /// Another rank would serve a call no sooner then.
    pub(crate) fn is_stalled(&self, now_ms: u64) -> bool {
        let quiet_ms = now_ms.saturating_sub(self.no_progress_since_ms);
        self.is_rank_group && !self.running.is_empty() && quiet_ms >= STALL_TIMEOUT_MS
    }

    /// Returns whether the rank group of the service was down when last heard of.
    pub(crate) fn is_down(&self) -> bool {
        self.is_down
    }

    /// Answers a call at once, or lets it wait: then nothing is returned.
    pub(crate) fn request_endpoint(
        &mut self,
        query: DispatchQuery,
        now_ms: u64,
    ) -> Option<DispatchDecision> {
        if !self.endpoints.values().any(|e| !e.record.is_leaving) {
            return Some(refuse(RefusalCode::NoEndpoint, MIN_RETRY_AFTER_MS));
        }
        let wait_ms = self.expected_wait_ms(&query, now_ms);
        let until_ms = query.useful_until_ms.min(now_ms + MAX_WAIT_MS);
        if wait_ms > 0 && now_ms + wait_ms > until_ms {
            return Some(refuse(
                RefusalCode::Overloaded,
                self.retry_after_ms(wait_ms),
            ));
        }
        if wait_ms == 0
            && let Some(decision) = self.try_assign(&query, now_ms)
        {
            return Some(decision);
        }
        self.waiting.push(Waiting {
            query,
            since_ms: now_ms,
            until_ms,
        });
        None
    }

    /// Ends a call that runs or waits; nothing happens when it does neither.
    pub(crate) fn end(&mut self, call: u64, result: SendResult, now_ms: u64) {
        self.waiting.retain(|waiting| waiting.query.call != call);
        let Some(running) = self.running.remove(&call) else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(running.since_ms);
        match result {
            SendResult::GroupDown => {
                self.is_down = true;
                self.paused_until_ms = now_ms + GROUP_DOWN_PAUSE_MS;
            }
            SendResult::Answered => self.record_progress(now_ms),
            _ => {}
        }
        if result == SendResult::Answered {
            let sample_ms = f64::from(u32::try_from(elapsed_ms).unwrap_or(u32::MAX));
            self.has_hold_time_sample = true;
            self.mean_hold_time_ms += HOLD_TIME_WEIGHT * (sample_ms - self.mean_hold_time_ms);
        }
        if let Some(endpoint) = self.endpoints.get_mut(&running.endpoint) {
            endpoint.own_calls = endpoint.own_calls.saturating_sub(1);
            endpoint.record_result(result, elapsed_ms, now_ms);
        }
    }

    /// Gives free places to waiting calls and refuses those that waited too long.
    pub(crate) fn advance(&mut self, now_ms: u64) -> Vec<(u64, DispatchDecision)> {
        let mut decisions = Vec::new();
        if self.is_stalled(now_ms) && !self.is_down {
            self.is_down = true;
            self.paused_until_ms = now_ms;
        }
        while let Some(position) = self.next_waiting(now_ms) {
            let waiting = self.waiting.swap_remove(position);
            let Some(decision) = self.try_assign(&waiting.query, now_ms) else {
                self.waiting.push(waiting);
                break;
            };
            decisions.push((waiting.query.call, decision));
        }
        let retry_after_ms = self.retry_after_ms(to_ms(self.mean_hold_time_ms));
        self.waiting.retain(|waiting| {
            let is_over = now_ms >= waiting.until_ms;
            if is_over {
                let decision = refuse(RefusalCode::Overloaded, retry_after_ms);
                decisions.push((waiting.query.call, decision));
            }
            !is_over
        });
        decisions
    }

    /// Calls of this entry, running and waiting.
    pub(crate) fn demand(&self) -> u32 {
        as_u32(self.running.len() + self.waiting.len())
    }

    /// Calls of this entry that run, by endpoint.
    pub(crate) fn own_calls(&self) -> impl Iterator<Item = (&str, u32)> {
        let endpoints = self.endpoints.iter();
        let busy = endpoints.filter(|(_, endpoint)| endpoint.own_calls > 0);
        busy.map(|(id, endpoint)| (id.as_str(), endpoint.own_calls))
    }

    fn try_assign(&mut self, query: &DispatchQuery, now_ms: u64) -> Option<DispatchDecision> {
        if as_f64(self.running.len()) >= self.own_slot_share() || self.is_paused(now_ms) {
            return None;
        }
        let id = self.choose_endpoint(query, now_ms)?;
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.own_calls += 1;
        let record = Arc::clone(&endpoint.record);
        if self.running.is_empty() {
            self.no_progress_since_ms = now_ms;
        }
        self.running.insert(
            query.call,
            Running {
                endpoint: id,
                since_ms: now_ms,
            },
        );
        Some(DispatchDecision::Send(record))
    }

    /// Returns whether no call is sent now: while a rank group is down, one is sent from time to
    /// time, and the others wait for what becomes of it.
    fn is_paused(&self, now_ms: u64) -> bool {
        if now_ms < self.paused_until_ms {
            return true;
        }
        let is_probing = |running: &Running| running.since_ms >= self.paused_until_ms;
        self.is_down && self.running.values().any(is_probing)
    }

    /// Notes that an endpoint has begun to decision.
    pub(crate) fn record_answer_start(&mut self, call: u64, now_ms: u64) {
        if self.running.contains_key(&call) {
            self.no_progress_since_ms = now_ms;
            self.is_down = false;
        }
    }

    /// Returns whether an endpoint that is not in `exclude` takes calls.
    pub(crate) fn has_alternative(&self, exclude: &[String], now_ms: u64) -> bool {
        let mut others = self.endpoints_with_room(exclude);
        others.any(|endpoint| !endpoint.is_avoided(now_ms))
    }

    /// Returns the endpoints that have room for a call and did not have it before.
    fn endpoints_with_room(&self, exclude: &[String]) -> impl Iterator<Item = &DirectEndpoint> {
        self.eligible_endpoints().filter(|endpoint| {
            let slots = slots_of(&endpoint.record);
            let is_excluded = exclude.contains(&endpoint.record.id);
            !is_excluded && endpoint.calls() < slots
        })
    }

    /// Returns the endpoints that calls are sent to: slow ones only when all are slow.
    fn eligible_endpoints(&self) -> impl Iterator<Item = &DirectEndpoint> {
        let staying = || {
            let endpoints = self.endpoints.values();
            endpoints.filter(|endpoint| !endpoint.record.is_leaving)
        };
        let all_slow = staying().all(DirectEndpoint::is_slow);
        staying().filter(move |endpoint| all_slow || !endpoint.is_slow())
    }

    /// Chooses the endpoint with the least cost; the local availability zone goes first among
    /// equals, and one that is to be avoided is taken when all are.
    fn choose_endpoint(&mut self, query: &DispatchQuery, now_ms: u64) -> Option<String> {
        let ties: Vec<u32> = self.endpoints.iter().map(|_| self.rng.random()).collect();
        let mut best: Option<(bool, f64, bool, u32, &str)> = None;
        for (endpoint, tie) in self.endpoints_with_room(&query.exclude).zip(ties) {
            let rank = (
                endpoint.is_avoided(now_ms),
                endpoint.cost(query.is_stream),
                !endpoint.is_local,
                tie,
                endpoint.record.id.as_str(),
            );
            if best.is_none_or(|best| is_before(&rank, &best)) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, _, _, id)| id.to_owned())
    }

    /// The waiting call to be served next.
    fn next_waiting(&self, now_ms: u64) -> Option<usize> {
        let waiting = self.waiting.iter().enumerate();
        let live = waiting.filter(|(_, waiting)| now_ms < waiting.until_ms);
        let next = live.max_by_key(|(_, waiting)| precedence(waiting, now_ms));
        next.map(|(position, _)| position)
    }

    /// Predicts how long a call waits for a place; zero when one is free.
    fn expected_wait_ms(&self, query: &DispatchQuery, now_ms: u64) -> u64 {
        let own = Waiting {
            query: query.clone(),
            since_ms: now_ms,
            until_ms: query.useful_until_ms,
        };
        let own_precedence = precedence(&own, now_ms);
        let ahead = self.waiting.iter();
        let ahead = ahead.filter(|waiting| precedence(waiting, now_ms) > own_precedence);
        let ahead = as_f64(ahead.count() + self.running.len()) + 1.0 - self.own_slot_share();
        if ahead <= 0.0 {
            return 0;
        }
        let wait_ms = ahead * self.mean_hold_time_ms / self.own_slot_share();
        to_ms(wait_ms).max(1)
    }

    /// Places of all endpoints that are this entry's to use: a share by what it has in hand.
    fn own_slot_share(&self) -> f64 {
        let own = f64::from(self.demand()) + 1.0;
        let others = f64::from(self.peer_demand.calls) + f64::from(self.peer_count);
        let share = own / (own + others);
        (self.usable_slots() * share).max(1.0)
    }

    fn usable_slots(&self) -> f64 {
        let limit = |endpoint: &DirectEndpoint| {
            let slots = f64::from(slots_of(&endpoint.record));
            let limited = self
                .concurrency_limit
                .as_ref()
                .map(StreamConcurrencyLimit::slots_per_endpoint);
            limited.map_or(slots, |limited| limited.min(slots))
        };
        self.eligible_endpoints().map(limit).sum()
    }

    fn calls_per_endpoint(&self) -> f64 {
        let calls: u32 = self.endpoints.values().map(DirectEndpoint::calls).sum();
        f64::from(calls) / as_f64(self.eligible_endpoints().count().max(1))
    }

    /// Returns when a refused call may come back that would wait `wait_ms` for its place.
    fn retry_after_ms(&self, wait_ms: u64) -> u64 {
        if self.is_down {
            return wait_ms.max(STALL_RETRY_AFTER_MS);
        }
        wait_ms
    }
}

/// Order in which waiting calls are served; the greatest goes first.
fn precedence(waiting: &Waiting, now_ms: u64) -> (u32, bool, bool, Reverse<u64>, Reverse<u64>) {
    let query = &waiting.query;
    let is_on_time = now_ms <= query.on_time_until_ms;
    (
        query.urgency,
        query.is_returning,
        is_on_time,
        Reverse(waiting.since_ms),
        Reverse(query.call),
    )
}

fn is_before(a: &(bool, f64, bool, u32, &str), b: &(bool, f64, bool, u32, &str)) -> bool {
    let by_cost = a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
    by_cost.then(a.2.cmp(&b.2)).then(a.3.cmp(&b.3)).is_lt()
}

fn refuse(code: RefusalCode, wait_ms: u64) -> DispatchDecision {
    DispatchDecision::Refuse {
        code,
        retry_after_ms: wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
    }
}

fn slots_of(record: &EndpointRecord) -> u32 {
    match record.slots {
        0 => DEFAULT_SLOTS,
        slots => slots,
    }
}

fn as_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn as_f64(count: usize) -> f64 {
    f64::from(as_u32(count))
}

/// Rounds milliseconds that are not negative.
fn to_ms(value_ms: f64) -> u64 {
    std::time::Duration::try_from_secs_f64(value_ms / 1e3).map_or(u64::MAX, |value| {
        u64::try_from(value.as_millis()).unwrap_or(u64::MAX)
    })
}
