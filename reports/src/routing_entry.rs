//! One entry of a routing run: the policy under comparison and what it knows.

use std::collections::HashMap;

use pomeloramp_lib::CacheEvent;
use pomeloramp_lib::EndpointFlags;
use pomeloramp_lib::EndpointId;
use pomeloramp_lib::PrefixChain;
use pomeloramp_lib::PrefixIndex;
use pomeloramp_lib::PrefixIndexSettings;
use pomeloramp_lib::RetryBudget;
use pomeloramp_lib::RouteChoice;
use pomeloramp_lib::RouteRequest;
use pomeloramp_lib::Router;
use pomeloramp_lib::RouterSettings;
use pomeloramp_lib::SendTicket;
use pomeloramp_lib::protos::control::LoadReport;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::routing_scenario::RoutePolicy;
use pomeloramp_testutils::EngineRequest;
use pomeloramp_testutils::FakeEngine;

const MAX_HINTS: usize = 16;
const RETRY_PERCENT: u32 = 10;
const MAX_SAVED_RETRIES: u32 = 10;
const RETRY_FLOOR_INTERVAL_MS: u64 = 1_000;
/// Time from the sending of a request until its endpoint counts it, at most.
const SEND_TO_COUNT_MS: u64 = 4;

/// One entry of a routing run.
pub(crate) struct RoutingEntry {
    /// Silence after which an endpoint is suspected.
    pub(crate) suspect_after_ms: u64,
    policy: RoutePolicy,
    rng: SmallRng,
    router: Router,
    index: PrefixIndex,
    budget: RetryBudget,
    tickets: HashMap<usize, SendTicket>,
    known: Vec<KnownEndpoint>,
}

/// What the simple policies know of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct KnownEndpoint {
    reported_at_ms: u64,
    requests: u32,
    is_left_out: bool,
}

impl RoutingEntry {
    pub(crate) fn new(
        policy: RoutePolicy,
        other_entries: u32,
        zone: usize,
        zones: &[usize],
        seed: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let settings = RouterSettings::builder()
            .default_capacity(FakeEngine::SLOTS)
            .build();
        let index_settings = PrefixIndexSettings::builder()
            .block_tokens(FakeEngine::BLOCK_TOKENS)
            .default_cache_blocks(FakeEngine::CACHE_BLOCKS)
            .build();
        let router_rng = SmallRng::seed_from_u64(rng.random());
        let mut router = Router::new(settings, &zone.to_string(), router_rng);
        router.set_other_entries(other_entries);
        let mut index = PrefixIndex::new(index_settings);
        for (endpoint, zone) in zones.iter().enumerate() {
            let id = router.add_endpoint(&endpoint_name(endpoint), &zone.to_string());
            index.add_endpoint(id, None);
        }
        Self {
            suspect_after_ms: 0,
            policy,
            rng,
            router,
            index,
            budget: RetryBudget::new(RETRY_PERCENT, MAX_SAVED_RETRIES, RETRY_FLOOR_INTERVAL_MS, 0),
            tickets: HashMap::new(),
            known: vec![KnownEndpoint::default(); zones.len()],
        }
    }

    /// Leaves out the endpoints that are not among the chosen ones.
    pub(crate) fn keep_only(&mut self, chosen: &[usize]) {
        for endpoint in 0..self.known.len() {
            if !chosen.contains(&endpoint) {
                self.router.remove_endpoint(id_of(endpoint));
                self.index.remove_endpoint(id_of(endpoint));
                self.known[endpoint].is_left_out = true;
            }
        }
    }

    pub(crate) fn record_request(&mut self) {
        self.budget.record_request();
    }

    pub(crate) fn try_retry(&mut self, now_ms: u64) -> bool {
        self.policy != RoutePolicy::Router || self.budget.try_retry(now_ms)
    }

    /// Selects an endpoint, or tells after how many milliseconds to come back.
    pub(crate) fn choose(
        &mut self,
        request: &EngineRequest,
        chain: &PrefixChain,
        tried: &[EndpointId],
        time_left_ms: u64,
        now_ms: u64,
    ) -> Result<usize, u64> {
        let endpoint = match self.policy {
            RoutePolicy::Random => self.random(tried, now_ms),
            RoutePolicy::LeastRequests => self.least_requests(tried, now_ms),
            RoutePolicy::PrefixHash => self.prefix_hash(chain, tried, now_ms),
            RoutePolicy::Router => {
                return self.by_router(request, chain, tried, time_left_ms, now_ms);
            }
        };
        self.known[endpoint].requests += 1;
        Ok(endpoint)
    }

    fn by_router(
        &mut self,
        request: &EngineRequest,
        chain: &PrefixChain,
        tried: &[EndpointId],
        time_left_ms: u64,
        now_ms: u64,
    ) -> Result<usize, u64> {
        for (endpoint, known) in self.known.iter().enumerate() {
            let flags = EndpointFlags {
                suspected: known.is_suspected(self.suspect_after_ms, now_ms),
                ..EndpointFlags::default()
            };
            self.router.set_flags(id_of(endpoint), flags);
        }
        let cached = self
            .index
            .lookup(chain, MAX_HINTS, self.rng.random_range(0..1_024));
        let home_keys = chain.home_keys();
        let route_request = RouteRequest::builder()
            .prompt_tokens(request.prompt_tokens())
            .time_left_ms(time_left_ms)
            .urgency(request.urgency)
            .cached(&cached)
            .home_keys(&home_keys)
            .exclude(tried)
            .build();
        match self.router.choose(&route_request, now_ms) {
            RouteChoice::Send(id) => {
                let cached_tokens = cached
                    .iter()
                    .find(|prefix| prefix.endpoint == id)
                    .map_or(0, |prefix| prefix.tokens);
                let prefill_tokens = request.prompt_tokens() - cached_tokens;
                let ticket = self.router.mark_sent(id, prefill_tokens, now_ms);
                self.index.record_sent(id, chain, now_ms);
                self.tickets.insert(request.id, ticket);
                Ok(id.0 as usize)
            }
            RouteChoice::Refuse { retry_after_ms, .. } => Err(retry_after_ms),
        }
    }

    pub(crate) fn take_report(&mut self, endpoint: usize, report: &LoadReport, now_ms: u64) {
        self.known[endpoint].reported_at_ms = now_ms;
        self.known[endpoint].requests = report.running_requests + report.queued_requests;
        self.router.update_load(id_of(endpoint), report, now_ms);
    }

    /// Takes the word beside an answer.
    pub(crate) fn take_word(&mut self, endpoint: usize, report: &LoadReport, now_ms: u64) {
        self.known[endpoint].reported_at_ms = now_ms;
        self.known[endpoint].requests = report.running_requests + report.queued_requests;
        let counted_until_ms = now_ms.saturating_sub(SEND_TO_COUNT_MS);
        self.router
            .update_load_as_of(id_of(endpoint), report, counted_until_ms);
    }

    /// Forgets what an endpoint that restarted had in its cache.
    pub(crate) fn forget_prefixes(&mut self, endpoint: usize) {
        if !self.known[endpoint].is_left_out {
            self.index.remove_endpoint(id_of(endpoint));
            self.index.add_endpoint(id_of(endpoint), None);
        }
    }

    pub(crate) fn take_cache_event(&mut self, endpoint: usize, event: &CacheEvent) {
        self.index.apply_event(id_of(endpoint), event);
    }

    pub(crate) fn note_first_token(&mut self, id: usize, _endpoint: usize, _now_ms: u64) {
        if let Some(&ticket) = self.tickets.get(&id) {
            self.router.mark_first_token(ticket);
        }
    }

    pub(crate) fn note_end(&mut self, id: usize, endpoint: usize, now_ms: u64) {
        let known = &mut self.known[endpoint];
        known.requests = known.requests.saturating_sub(1);
        if let Some(ticket) = self.tickets.remove(&id) {
            self.router.mark_finished(ticket, now_ms);
        }
    }

    /// Endpoints that are neither suspected nor tried before; all of them when none is left.
    fn usable(&self, tried: &[EndpointId], now_ms: u64) -> Vec<usize> {
        let usable: Vec<usize> = (0..self.known.len())
            .filter(|&endpoint| {
                !self.known[endpoint].is_suspected(self.suspect_after_ms, now_ms)
                    && !tried.contains(&id_of(endpoint))
            })
            .collect();
        if usable.is_empty() {
            return (0..self.known.len()).collect();
        }
        usable
    }

    fn random(&mut self, tried: &[EndpointId], now_ms: u64) -> usize {
        let usable = self.usable(tried, now_ms);
        usable[self.rng.random_range(0..usable.len())]
    }

    fn least_requests(&mut self, tried: &[EndpointId], now_ms: u64) -> usize {
        let usable = self.usable(tried, now_ms);
        let least = usable.iter().map(|&endpoint| self.known[endpoint].requests);
        let least = least.min().unwrap_or(0);
        let best: Vec<usize> = usable
            .into_iter()
            .filter(|&endpoint| self.known[endpoint].requests == least)
            .collect();
        best[self.rng.random_range(0..best.len())]
    }

    fn prefix_hash(&mut self, chain: &PrefixChain, tried: &[EndpointId], now_ms: u64) -> usize {
        let first = chain.hashes().first().map_or(0, |hash| hash.0);
        let score = |endpoint: &usize| {
            SmallRng::seed_from_u64(first ^ ((*endpoint as u64 + 1) << 48)).random::<u64>()
        };
        let usable = self.usable(tried, now_ms);
        usable.into_iter().max_by_key(score).unwrap_or(0)
    }
}

impl KnownEndpoint {
    fn is_suspected(&self, suspect_after_ms: u64, now_ms: u64) -> bool {
        self.is_left_out || now_ms > self.reported_at_ms + suspect_after_ms
    }
}

/// Name by which all entries know an endpoint.
pub(crate) fn endpoint_name(endpoint: usize) -> String {
    format!("endpoint-{endpoint}")
}

fn id_of(endpoint: usize) -> EndpointId {
    EndpointId(u32::try_from(endpoint).unwrap_or(u32::MAX))
}
