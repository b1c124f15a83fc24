//! Routing of the requests of one service to its endpoints.

use std::collections::HashMap;

use rand::RngExt;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::BlockHash;
use crate::EndpointFlags;
use crate::EndpointId;
use crate::RefusalCode;
use crate::RouteChoice;
use crate::RouteRequest;
use crate::RouterSettings;
use crate::SendTicket;
use crate::endpoint_view::EndpointView;
use crate::latency_model::LatencyModel;
use crate::protos::control::LoadReport;

const US_PER_MS: u64 = 1_000;

/// Routes the requests that one entry receives for one service.
///
/// A request is sent to the endpoint with the lowest predicted cost, which is mainly the time to
/// first token, among a few random endpoints and those that probably cache a prefix of its prompt.
/// All times are milliseconds of the process's monotonic clock.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    model: LatencyModel,
    availability_zone: String,
    rng: SmallRng,
    endpoints: Vec<EndpointView>,
    positions: HashMap<EndpointId, usize>,
    /// Positions of the open endpoints of the local availability zone.
    open_local: Vec<usize>,
    /// Positions of the open endpoints of other availability zones.
    open_remote: Vec<usize>,
    /// Positions of endpoints that are used only if no open endpoint is left.
    last_resort: Vec<usize>,
    /// Requests at all open endpoints.
    open_load_requests: u64,
    next_endpoint: u32,
    next_send: u64,
}

/// Predicted result of sending a request to one endpoint. The fields are in the order in which
/// candidates are compared; the smallest candidate is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// The answer is predicted to miss the deadline.
    is_late: bool,
    /// The load of the endpoint exceeds the load bound.
    is_over_bound: bool,
    cost_us: u64,
    /// Predicted time until the whole answer has arrived.
    answer_us: u64,
    /// Part of `answer_us` that is spent in the queue.
    queue_us: u64,
    /// Part of `cost_us` that is due to prefill.
    prefill_cost_us: u64,
    position: usize,
}

impl Router {
    /// Creates a router without endpoints for an entry in `availability_zone`.
    #[must_use]
    pub fn new(settings: RouterSettings, availability_zone: &str, rng: SmallRng) -> Self {
        Self {
            model: LatencyModel::new(&settings),
            settings,
            availability_zone: availability_zone.to_owned(),
            rng,
            endpoints: Vec::new(),
            positions: HashMap::new(),
            open_local: Vec::new(),
            open_remote: Vec::new(),
            last_resort: Vec::new(),
            open_load_requests: 0,
            next_endpoint: 0,
            next_send: 0,
        }
    }

    /// Adds an endpoint. A restarted endpoint must be removed and added again.
    ///
    /// All entries must use the same `vm_name`, since the homes of prefixes depend on it.
    pub fn add_endpoint(&mut self, vm_name: &str, availability_zone: &str) -> EndpointId {
        let id = EndpointId(self.next_endpoint);
        self.next_endpoint += 1;
        let is_local = availability_zone == self.availability_zone;
        let name_hash = xxh3_64(vm_name.as_bytes());
        self.positions.insert(id, self.endpoints.len());
        self.endpoints
            .push(EndpointView::new(id, name_hash, is_local));
        self.rebuild_lists();
        id
    }

    /// Removes an endpoint; tickets of requests that were sent to it lose their effect.
    pub fn remove_endpoint(&mut self, id: EndpointId) {
        let Some(position) = self.positions.remove(&id) else {
            return;
        };
        self.endpoints.swap_remove(position);
        if let Some(moved) = self.endpoints.get(position) {
            self.positions.insert(moved.id, position);
        }
        self.rebuild_lists();
    }

    /// Applies a load report that arrived now. Reports of unknown endpoints are ignored.
    pub fn update_load(&mut self, id: EndpointId, report: &LoadReport, now_ms: u64) {
        let made_at_ms = now_ms.checked_sub(self.settings.report_lag_ms);
        self.update_endpoint(id, |endpoint| {
            endpoint.take_report(*report, made_at_ms);
        });
    }

    /// Applies a load report that counts all requests sent up to `counted_until_ms`.
    pub fn update_load_as_of(
        &mut self,
        id: EndpointId,
        report: &LoadReport,
        counted_until_ms: u64,
    ) {
        self.update_endpoint(id, |endpoint| {
            endpoint.take_report(*report, Some(counted_until_ms));
        });
    }

    /// Sets the number of other entries that send to the same endpoints.
    ///
    /// The requests that they have sent since the last load report are not known. Each of them is
    /// assumed to have sent as much as this entry, scaled by the utilisation of the endpoint in
    /// that report.
    pub fn set_other_entries(&mut self, count: u32) {
        self.model.entry_count = 1 + u64::from(count);
    }

    /// Sets the states that keep requests away from an endpoint.
    pub fn set_flags(&mut self, id: EndpointId, flags: EndpointFlags) {
        let Some(&position) = self.positions.get(&id) else {
            return;
        };
        if self.endpoints[position].flags == flags {
            return;
        }
        self.endpoints[position].flags = flags;
        self.rebuild_lists();
    }

    /// Records that a request was sent to an endpoint, which must compute `prefill_tokens` of its
    /// prompt because they are not cached.
    pub fn mark_sent(&mut self, id: EndpointId, prefill_tokens: u64, now_ms: u64) -> SendTicket {
        let number = self.next_send;
        self.next_send += 1;
        if let Some(&position) = self.positions.get(&id) {
            let queue_us = self.endpoints[position]
                .predict(0, &self.model, now_ms)
                .queue_us;
            self.update_endpoint(id, |endpoint| {
                endpoint.add_request(number, queue_us, prefill_tokens, now_ms);
            });
        }
        SendTicket {
            endpoint: id,
            number,
        }
    }

    /// Records that the first token (or byte) of an answer arrived.
    pub fn mark_first_token(&mut self, ticket: SendTicket) {
        self.update_endpoint(ticket.endpoint, |endpoint| {
            endpoint.mark_first_token(ticket.number);
        });
    }

    /// Records that a request ended, with any result.
    pub fn mark_finished(&mut self, ticket: SendTicket, now_ms: u64) {
        let mut occupied_us = None;
        self.update_endpoint(ticket.endpoint, |endpoint| {
            occupied_us = endpoint.remove_request(ticket.number, now_ms);
        });
        if let Some(occupied_us) = occupied_us {
            self.model.record_occupancy(occupied_us);
        }
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the number of requests that this entry sent to the endpoint and that have not ended.
    #[must_use]
    pub fn in_flight_requests(&self, id: EndpointId) -> usize {
        self.positions
            .get(&id)
            .map_or(0, |&position| self.endpoints[position].own_request_count())
    }

    /// Chooses an endpoint for a request. The caller sends the request and calls
    /// [`Router::mark_sent`].
    pub fn choose(&mut self, request: &RouteRequest, now_ms: u64) -> RouteChoice {
        let sampled = self.best_of_samples(request, now_ms);
        if let Some(candidate) = sampled.filter(|candidate| !candidate.is_late) {
            return RouteChoice::Send(self.endpoints[candidate.position].id);
        }
        match self.best_of_all(request, now_ms) {
            None => RouteChoice::Refuse {
                code: RefusalCode::NoEndpoint,
                retry_after_ms: self.jittered_retry_after_ms(self.settings.min_retry_after_ms),
            },
            Some(candidate) if candidate.is_late => self.refuse_late(candidate, request),
            Some(candidate) => RouteChoice::Send(self.endpoints[candidate.position].id),
        }
    }

    /// Compares endpoints that probably cache a prefix, home endpoints and random endpoints.
    fn best_of_samples(&mut self, request: &RouteRequest, now_ms: u64) -> Option<Candidate> {
        let mut best = None;
        for prefix in request.cached.iter().take(self.settings.cached_samples) {
            if let Some(&position) = self.positions.get(&prefix.endpoint)
                && self.endpoints[position].flags.is_open()
            {
                best = best_of(best, self.candidate(position, request, now_ms));
            }
        }
        for &key in request.home_keys {
            if let Some(home) = self.home_position(key) {
                best = best_of(best, self.home_candidate(home, request, now_ms));
            }
        }
        let local = sample_to_front(
            &mut self.open_local,
            self.settings.local_samples,
            &mut self.rng,
        );
        let remote = sample_to_front(
            &mut self.open_remote,
            self.settings.remote_samples,
            &mut self.rng,
        );
        for &position in self.open_local[..local]
            .iter()
            .chain(&self.open_remote[..remote])
        {
            best = best_of(best, self.candidate(position, request, now_ms));
        }
        best
    }

    /// Compares all open endpoints, or those of last resort if the request can use no open one.
    fn best_of_all(&self, request: &RouteRequest, now_ms: u64) -> Option<Candidate> {
        let open = self.open_local.iter().chain(&self.open_remote);
        open.filter_map(|&position| self.candidate(position, request, now_ms))
            .min()
            .or_else(|| {
                self.last_resort
                    .iter()
                    .filter_map(|&position| self.candidate(position, request, now_ms))
                    .min()
            })
    }

    /// Returns the position of the home endpoint of a prefix, which all entries prefer.
    fn home_position(&self, key: BlockHash) -> Option<usize> {
        let open = self.open_local.iter().chain(&self.open_remote);
        open.copied()
            .max_by_key(|&position| rendezvous_score(key, self.endpoints[position].name_hash))
    }

    /// Evaluates a home endpoint, to which other entries have probably sent the prefix before.
    fn home_candidate(
        &self,
        position: usize,
        request: &RouteRequest,
        now_ms: u64,
    ) -> Option<Candidate> {
        let mut candidate = self.candidate(position, request, now_ms)?;
        let is_cached = request.cached_tokens(self.endpoints[position].id) > 0;
        if !is_cached {
            let expected_saving_us =
                percent_of(candidate.prefill_cost_us, self.settings.home_cached_percent);
            candidate.cost_us = candidate.cost_us.saturating_sub(expected_saving_us);
        }
        Some(candidate)
    }

    /// Evaluates an endpoint; `None` if the request excludes it.
    fn candidate(&self, position: usize, request: &RouteRequest, now_ms: u64) -> Option<Candidate> {
        let endpoint = &self.endpoints[position];
        if request.exclude.contains(&endpoint.id) {
            return None;
        }
        let prefill_tokens = request.prompt_tokens - request.cached_tokens(endpoint.id);
        let prediction = endpoint.predict(prefill_tokens, &self.model, now_ms);
        let queue_percent = self.settings.queue_percent(request.urgency);
        let queue_us = percent_of(prediction.queue_us, queue_percent);
        let prefill_us = prediction.prefill_us;
        let answer_us = queue_us
            .saturating_add(prefill_us)
            .saturating_add(ms_to_us(request.expected_decode_ms));
        let prefill_cost_us = percent_of(prefill_us, self.settings.prefill_cost_percent);
        let margin_us = if endpoint.is_local {
            0
        } else {
            ms_to_us(self.settings.zone_margin_ms)
        };
        Some(Candidate {
            is_late: answer_us > ms_to_us(request.time_left_ms),
            is_over_bound: endpoint.load_requests() > self.load_bound_requests(),
            cost_us: queue_us
                .saturating_add(prefill_cost_us)
                .saturating_add(margin_us),
            answer_us,
            queue_us,
            prefill_cost_us,
            position,
        })
    }

    /// Returns the load above which an endpoint is used only if all compared endpoints exceed it or
    /// miss the deadline.
    fn load_bound_requests(&self) -> u64 {
        let open_count = (self.open_local.len() + self.open_remote.len()).max(1) as u64;
        let bound_percent = self.settings.load_bound_percent;
        (self.open_load_requests + open_count).saturating_mul(bound_percent) / (open_count * 100)
    }

    fn refuse_late(&mut self, candidate: Candidate, request: &RouteRequest) -> RouteChoice {
        let excess_us = candidate.answer_us - ms_to_us(request.time_left_ms);
        let code = if excess_us > candidate.queue_us {
            RefusalCode::DeadlineTooShort
        } else {
            RefusalCode::Overloaded
        };
        RouteChoice::Refuse {
            code,
            retry_after_ms: self.jittered_retry_after_ms(excess_us / US_PER_MS),
        }
    }

    /// Adds jitter to a retry delay, so that refused callers do not all retry at once.
    fn jittered_retry_after_ms(&mut self, wait_ms: u64) -> u64 {
        let min_ms = self.settings.min_retry_after_ms;
        let max_ms = self.settings.max_retry_after_ms.max(min_ms);
        let wait_ms = wait_ms.clamp(min_ms, max_ms);
        let jitter_ms = self.rng.random_range(0..=wait_ms / 2);
        (wait_ms + jitter_ms).min(max_ms)
    }

    fn update_endpoint(&mut self, id: EndpointId, update: impl FnOnce(&mut EndpointView)) {
        let Some(&position) = self.positions.get(&id) else {
            return;
        };
        let endpoint = &mut self.endpoints[position];
        let load_before = endpoint.load_requests();
        update(endpoint);
        if endpoint.flags.is_open() {
            self.open_load_requests -= load_before;
            self.open_load_requests += endpoint.load_requests();
        }
    }

    fn rebuild_lists(&mut self) {
        self.open_local.clear();
        self.open_remote.clear();
        self.last_resort.clear();
        self.open_load_requests = 0;
        for (position, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.flags.is_last_resort() {
                self.last_resort.push(position);
            }
            if !endpoint.flags.is_open() {
                continue;
            }
            self.open_load_requests += endpoint.load_requests();
            if endpoint.is_local {
                self.open_local.push(position);
            } else {
                self.open_remote.push(position);
            }
        }
    }
}

fn best_of(best: Option<Candidate>, other: Option<Candidate>) -> Option<Candidate> {
    match (best, other) {
        (Some(best), Some(other)) => Some(best.min(other)),
        (best, other) => best.or(other),
    }
}

/// Returns the score of an endpoint for a key; the endpoint with the highest score is the home.
fn rendezvous_score(key: BlockHash, name_hash: u64) -> u64 {
    let mixed = (key.0 ^ name_hash).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

fn percent_of(time_us: u64, percent: u64) -> u64 {
    time_us.saturating_mul(percent) / 100
}

fn ms_to_us(time_ms: u64) -> u64 {
    time_ms.saturating_mul(US_PER_MS)
}

/// Moves up to `count` randomly chosen positions to the front; returns their number.
fn sample_to_front(positions: &mut [usize], count: usize, rng: &mut SmallRng) -> usize {
    let count = count.min(positions.len());
    for front in 0..count {
        let sampled = rng.random_range(front..positions.len());
        positions.swap(front, sampled);
    }
    count
}
