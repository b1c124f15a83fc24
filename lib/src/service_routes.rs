//! An entry's routing state for one service.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::EndpointFlags;
use crate::EndpointId;
use crate::PrefixChain;
use crate::PrefixIndex;
use crate::PrefixIndexSettings;
use crate::RetryBudget;
use crate::RouteChoice;
use crate::RouteRequest;
use crate::Router;
use crate::RouterSettings;
use crate::SendTicket;
use crate::agent_call::CallTarget;
use crate::protos::control::LoadReport;
use crate::route_query::RouteQuery;

const BLOCK_BYTES: usize = 256;
const BLOCK_TOKENS: u64 = 64;
/// Bound on the prefix index of one service, so that the indexes of 22 services fit in an entry's
/// memory.
const MAX_TOTAL_BLOCKS: usize = 50_000;
const MAX_BLOCKS_PER_PROMPT: usize = 256;
const MAX_CACHED_PREFIXES: usize = 16;
const BYTES_PER_TOKEN: u64 = 4;
const MAX_SAVED_RETRIES: u32 = 20;
const RETRY_FLOOR_INTERVAL_MS: u64 = 1000;
/// Maximum time from sending a request until its agent counts it in load reports.
const SEND_TO_COUNT_MS: u64 = 20;

/// Endpoint that was chosen for a request, with the ticket by which the send is tracked.
#[derive(Debug, Clone)]
pub(crate) struct RoutedSend {
    pub(crate) vm_name: String,
    pub(crate) peer_address: String,
    pub(crate) ticket: SendTicket,
}

impl RoutedSend {
    /// Returns the agent of the chosen endpoint.
    pub(crate) fn target(&self) -> CallTarget<'_> {
        CallTarget {
            vm_name: &self.vm_name,
            peer_address: &self.peer_address,
        }
    }
}

/// Address of an endpoint.
#[derive(Debug)]
struct Route {
    vm_name: String,
    peer_address: String,
}

/// Router, prefix index and retry budget of one service.
#[derive(Debug)]
pub(crate) struct ServiceRoutes {
    router: Router,
    prefixes: PrefixIndex,
    retry_budget: RetryBudget,
    ids_by_vm_name: BTreeMap<String, EndpointId>,
    routes: BTreeMap<EndpointId, Route>,
}

impl ServiceRoutes {
    /// Creates the routes of a service without endpoints.
    pub(crate) fn new(availability_zone: &str, retry_percent: u32, now_ms: u64) -> Self {
        let rng = SmallRng::seed_from_u64(rand::random());
        let prefix_settings = PrefixIndexSettings::builder()
            .block_tokens(BLOCK_TOKENS)
            .max_total_blocks(MAX_TOTAL_BLOCKS)
            .build();
        Self {
            router: Router::new(RouterSettings::builder().build(), availability_zone, rng),
            prefixes: PrefixIndex::new(prefix_settings),
            retry_budget: RetryBudget::new(
                retry_percent,
                MAX_SAVED_RETRIES,
                RETRY_FLOOR_INTERVAL_MS,
                now_ms,
            ),
            ids_by_vm_name: BTreeMap::new(),
            routes: BTreeMap::new(),
        }
    }

    /// Adds an endpoint, or updates the address of an existing one.
    pub(crate) fn upsert(&mut self, vm_name: &str, availability_zone: &str, peer_address: &str) {
        let id = if let Some(&id) = self.ids_by_vm_name.get(vm_name) {
            id
        } else {
            let id = self.router.add_endpoint(vm_name, availability_zone);
            self.prefixes.add_endpoint(id, None);
            self.ids_by_vm_name.insert(vm_name.to_owned(), id);
            id
        };
        let route = Route {
            vm_name: vm_name.to_owned(),
            peer_address: peer_address.to_owned(),
        };
        self.routes.insert(id, route);
    }

    /// Removes the endpoints for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let removed: Vec<String> = self
            .ids_by_vm_name
            .keys()
            .filter(|vm| !keep(vm))
            .cloned()
            .collect();
        for vm_name in removed {
            self.remove(&vm_name);
        }
    }

    /// Removes an endpoint, for instance one that restarted with an empty cache.
    pub(crate) fn remove(&mut self, vm_name: &str) {
        if let Some(id) = self.ids_by_vm_name.remove(vm_name) {
            self.router.remove_endpoint(id);
            self.prefixes.remove_endpoint(id);
            self.routes.remove(&id);
        }
    }

    /// Sets the number of other entries that send to the same endpoints.
    pub(crate) fn set_other_entries(&mut self, count: u32) {
        self.router.set_other_entries(count);
    }

    /// Sets the states that keep requests away from an endpoint.
    pub(crate) fn set_flags(&mut self, vm_name: &str, flags: EndpointFlags) {
        if let Some(&id) = self.ids_by_vm_name.get(vm_name) {
            self.router.set_flags(id, flags);
        }
    }

    /// Applies a load report that was created at `made_at_ms` or later.
    pub(crate) fn update_load(&mut self, vm_name: &str, report: &LoadReport, made_at_ms: u64) {
        if let Some(&id) = self.ids_by_vm_name.get(vm_name) {
            let counted_until_ms = made_at_ms.saturating_sub(SEND_TO_COUNT_MS);
            self.router.update_load_as_of(id, report, counted_until_ms);
        }
    }

    /// Chooses an endpoint and records the request as sent to it.
    pub(crate) fn choose(
        &mut self,
        query: &RouteQuery,
        now_ms: u64,
    ) -> Result<RoutedSend, RouteChoice> {
        let chain = PrefixChain::new(&query.prompt, 0, BLOCK_BYTES, MAX_BLOCKS_PER_PROMPT);
        let rotation = usize::try_from(rand::random::<u32>()).unwrap_or(0);
        let cached = self.prefixes.lookup(&chain, MAX_CACHED_PREFIXES, rotation);
        let home_keys = chain.home_keys();
        let exclude: Vec<EndpointId> = query
            .exclude
            .iter()
            .filter_map(|vm_name| self.ids_by_vm_name.get(vm_name).copied())
            .collect();
        let prompt_tokens = query.prompt.len() as u64 / BYTES_PER_TOKEN;
        let request = RouteRequest::builder()
            .prompt_tokens(prompt_tokens)
            .time_left_ms(query.time_left_ms)
            .urgency(query.urgency)
            .cached(&cached)
            .home_keys(&home_keys)
            .exclude(&exclude)
            .build();
        if query.exclude.is_empty() {
            self.retry_budget.record_request();
        }
        match self.router.choose(&request, now_ms) {
            RouteChoice::Send(id) => {
                let prefill_tokens = prompt_tokens - request.cached_tokens(id);
                Ok(self.record_send(id, &chain, prefill_tokens, now_ms))
            }
            refusal @ RouteChoice::Refuse { .. } => Err(refusal),
        }
    }

    /// Takes a retry from the service's budget.
    pub(crate) fn try_retry(&mut self, now_ms: u64) -> bool {
        self.retry_budget.try_retry(now_ms)
    }

    /// Records that the first token of an answer arrived.
    pub(crate) fn mark_first_token(&mut self, ticket: SendTicket) {
        self.router.mark_first_token(ticket);
    }

    /// Records that a request ended.
    pub(crate) fn mark_finished(&mut self, ticket: SendTicket, now_ms: u64) {
        self.router.mark_finished(ticket, now_ms);
    }

    fn record_send(
        &mut self,
        id: EndpointId,
        chain: &PrefixChain,
        prefill_tokens: u64,
        now_ms: u64,
    ) -> RoutedSend {
        let ticket = self.router.mark_sent(id, prefill_tokens, now_ms);
        self.prefixes.record_sent(id, chain, now_ms);
        let route = &self.routes[&id];
        RoutedSend {
            vm_name: route.vm_name.clone(),
            peer_address: route.peer_address.clone(),
            ticket,
        }
    }
}
