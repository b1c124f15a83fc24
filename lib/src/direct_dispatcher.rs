//! The decision on where calls go that are sent to endpoints directly.

use std::collections::HashMap;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::DispatchDecision;
use crate::DispatchQuery;
use crate::EndpointRecord;
use crate::PeerDemand;
use crate::RefusalCode;
use crate::RetryBudget;
use crate::RouteTable;
use crate::SendResult;
use crate::direct_service::DirectService;
use crate::short_hash::short_hash;

/// Retries that an entry may save up for one service.
const MAX_SAVED_RETRIES: u32 = 5;
/// Time in which an entry earns one retry of a service without any request.
const RETRY_FLOOR_INTERVAL_MS: u64 = 1_800;
const RETRY_AFTER_MS: u64 = 500;

/// The decision on where calls go that are sent to endpoints directly.
///
/// A call asks once and is answered at once or later; it keeps its place until it is told to have
/// ended.
#[derive(Debug)]
pub struct DirectDispatcher {
    availability_zone: String,
    retry_percent: u32,
    rng: SmallRng,
    services: HashMap<String, DirectService>,
    budgets: HashMap<String, RetryBudget>,
    service_of: HashMap<u64, String>,
}

impl DirectDispatcher {
    /// Makes the dispatch of an entry that knows no endpoint.
    ///
    /// Retries are bounded to `retry_percent` of the requests of each service.
    #[must_use]
    pub fn new(availability_zone: &str, retry_percent: u32, rng: SmallRng) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            retry_percent,
            rng,
            services: HashMap::new(),
            budgets: HashMap::new(),
            service_of: HashMap::new(),
        }
    }

    /// Takes over the list of all endpoints; returns the calls that have an decision now.
    pub fn set_endpoints(
        &mut self,
        records: &[Arc<EndpointRecord>],
        now_ms: u64,
    ) -> Vec<(u64, DispatchDecision)> {
        let mut by_service: HashMap<String, Vec<Arc<EndpointRecord>>> = HashMap::new();
        for name in self.services.keys() {
            by_service.insert(name.clone(), Vec::new());
        }
        for record in records {
            let list = by_service.entry(record.service.clone()).or_default();
            list.push(Arc::clone(record));
        }
        for (name, records) in by_service {
            self.service(&name).set_endpoints(records);
        }
        self.advance(now_ms)
    }

    /// Takes over the published models of the engines and the targets of the routes.
    pub fn set_table(&mut self, table: &RouteTable) {
        for rule in table.services() {
            self.service(&rule.name).set_engine(rule.engine.as_ref());
        }
        for rule in table.rules() {
            for target in &rule.targets {
                let service = self.service(&target.service);
                service.set_target_pause_ms(rule.target_gap_ms);
            }
        }
    }

    /// Takes in how many other entries take new work, and what others have in hand by the short
    /// name of the service.
    pub fn set_peer_demand(&mut self, entries: u32, others: &HashMap<u32, PeerDemand>) {
        for (name, service) in &mut self.services {
            let demand = others.get(&short_hash(name)).cloned().unwrap_or_default();
            service.set_peer_demand(entries, demand);
        }
    }

    /// Takes in the paces of slow endpoints, in percent of the usual time, by the hash of their
    /// address; all others take the usual time.
    pub fn set_slowdowns(&mut self, slowdowns: &HashMap<u32, u32>) {
        for service in self.services.values_mut() {
            service.set_slowdowns(slowdowns);
        }
    }

    /// Takes in the mean of the last `count` pauses between events of a service's streams.
    pub fn observe_pauses(&mut self, service: &str, mean_pause_ms: f64, count: u32) {
        self.service(service).observe_pauses(mean_pause_ms, count);
    }

    /// Notes that running calls of a service have made progress.
    pub fn record_progress(&mut self, service: &str, now_ms: u64) {
        self.service(service).record_progress(now_ms);
    }

    /// Asks for an endpoint; without an decision the call waits for one.
    pub fn request_endpoint(
        &mut self,
        query: DispatchQuery,
        now_ms: u64,
    ) -> Option<DispatchDecision> {
        let call = query.call;
        let service = query.service.clone();
        let Some(state) = self.services.get_mut(&service) else {
            return Some(DispatchDecision::Refuse {
                code: RefusalCode::NoEndpoint,
                retry_after_ms: RETRY_AFTER_MS,
            });
        };
        if query.exclude.is_empty() {
            let budget = budget(&mut self.budgets, &service, self.retry_percent, now_ms);
            budget.record_request();
        }
        let decision = state.request_endpoint(query, now_ms);
        if !matches!(decision, Some(DispatchDecision::Refuse { .. })) {
            self.service_of.insert(call, service);
        }
        decision
    }

    /// Takes one retry of a service from its budget to take a call away from a silent endpoint
    /// or a slow one, the last in `exclude`. Tells otherwise that the call is to stay: no retry is
    /// left, all endpoints are silent together, or none but those in `exclude` takes it.
    pub fn try_move(&mut self, service: &str, exclude: &[String], now_ms: u64) -> bool {
        let state = self.services.get(service);
        let may_move = |state: &DirectService| {
            let is_at_slow = exclude.last().is_some_and(|id| state.is_slow(id));
            let helps = is_at_slow || !state.is_stalled(now_ms);
            helps && state.has_alternative(exclude, now_ms)
        };
        state.is_some_and(may_move) && self.try_retry(service, now_ms)
    }

    /// Takes one retry of a service from its budget, or tells that none is left.
    pub fn try_retry(&mut self, service: &str, now_ms: u64) -> bool {
        budget(&mut self.budgets, service, self.retry_percent, now_ms).try_retry(now_ms)
    }

    /// Ends a call that runs or waits; returns the calls that have an decision now.
    pub fn end(
        &mut self,
        call: u64,
        result: SendResult,
        now_ms: u64,
    ) -> Vec<(u64, DispatchDecision)> {
        let Some(name) = self.service_of.remove(&call) else {
            return Vec::new();
        };
        let service = self.service(&name);
        service.end(call, result, now_ms);
        let decisions = service.advance(now_ms);
        self.forget_refused(&decisions);
        decisions
    }

    /// Notes that an endpoint has begun to decision a call; returns the calls that have an decision
    /// now.
    pub fn record_answer_start(&mut self, call: u64, now_ms: u64) -> Vec<(u64, DispatchDecision)> {
        let Some(name) = self.service_of.get(&call).cloned() else {
            return Vec::new();
        };
        let service = self.service(&name);
        service.record_answer_start(call, now_ms);
        let decisions = service.advance(now_ms);
        self.forget_refused(&decisions);
        decisions
    }

    /// Lets time pass; returns the calls that have an decision now.
    pub fn advance(&mut self, now_ms: u64) -> Vec<(u64, DispatchDecision)> {
        let services = self.services.values_mut();
        let decisions: Vec<_> = services
            .flat_map(|service| service.advance(now_ms))
            .collect();
        self.forget_refused(&decisions);
        decisions
    }

    /// Returns all services by name.
    pub(crate) fn services(&self) -> impl Iterator<Item = (&str, &DirectService)> {
        let services = self.services.iter();
        services.map(|(name, service)| (name.as_str(), service))
    }

    fn forget_refused(&mut self, decisions: &[(u64, DispatchDecision)]) {
        for (call, decision) in decisions {
            if matches!(decision, DispatchDecision::Refuse { .. }) {
                self.service_of.remove(call);
            }
        }
    }

    fn service(&mut self, name: &str) -> &mut DirectService {
        if !self.services.contains_key(name) {
            let rng = SmallRng::from_rng(&mut self.rng);
            let service = DirectService::new(&self.availability_zone, rng);
            self.services.insert(name.to_owned(), service);
        }
        self.services
            .get_mut(name)
            .expect("the service was inserted above")
    }
}

fn budget<'a>(
    budgets: &'a mut HashMap<String, RetryBudget>,
    service: &str,
    retry_percent: u32,
    now_ms: u64,
) -> &'a mut RetryBudget {
    budgets.entry(service.to_owned()).or_insert_with(|| {
        RetryBudget::new(
            retry_percent,
            MAX_SAVED_RETRIES,
            RETRY_FLOOR_INTERVAL_MS,
            now_ms,
        )
    })
}
