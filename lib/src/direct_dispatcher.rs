//! Chooses endpoints for the calls that an entry sends to endpoints directly.

use std::collections::HashMap;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::BelievedLimit;
use crate::DispatchDecision;
use crate::DispatchQuery;
use crate::EndpointRecord;
use crate::LeavingChange;
use crate::LimitChange;
use crate::LimitDivision;
use crate::LimitObservation;
use crate::LimitSource;
use crate::LimitStatus;
use crate::NamedLimit;
use crate::ObstacleCounts;
use crate::PauseChange;
use crate::PauseStatus;
use crate::PeerDemand;
use crate::RefusalCode;
use crate::RetryAfter;
use crate::RetryAllowance;
use crate::RouteTable;
use crate::SendResult;
use crate::SharedRetryBudget;
use crate::direct_service::DirectService;
use crate::limit_division::ServiceDivision;
use crate::limit_share::LimitShare;
use crate::protos::control::EndpointLimitReport;
use crate::short_hash::short_hash;

/// Time for which a change of a limit is reported before what has not changed.
const RECENT_CHANGE_MS: u64 = 2_000;
/// Retry delay for calls of a service that is not known.
const RETRY_AFTER_MS: u64 = 500;

/// Chooses endpoints for the calls that an entry sends to endpoints directly.
///
/// Each call requests an endpoint once. The decision is returned at once, or later by another
/// method when the call is queued. A call holds its slot until [`end`](Self::end) is called.
#[derive(Debug)]
pub struct DirectDispatcher {
    availability_zone: String,
    allowance: RetryAllowance,
    /// This entry's share of the retries that are allowed whatever the number of requests.
    retry_share: LimitShare,
    rng: SmallRng,
    services: HashMap<String, DirectService>,
    budgets: HashMap<String, SharedRetryBudget>,
    /// Services of running and queued calls, by call number.
    service_by_call: HashMap<u64, String>,
    division: LimitDivision,
    /// Rounds of gossip in which a division was set.
    division_rounds: u32,
}

impl DirectDispatcher {
    /// Creates a dispatcher without endpoints.
    ///
    /// It has the whole allowance of retries until a division among entries is set, and no part of the slack
    /// for some rounds then.
    #[must_use]
    pub fn new(availability_zone: &str, allowance: RetryAllowance, rng: SmallRng) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            allowance,
            retry_share: LimitShare::new(1.0),
            rng,
            services: HashMap::new(),
            budgets: HashMap::new(),
            service_by_call: HashMap::new(),
            division: LimitDivision::default(),
            division_rounds: 0,
        }
    }

    /// Replaces the list of all endpoints; returns the decisions on queued calls that this allows.
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
            self.service(&name).set_endpoints(records, now_ms);
        }
        self.advance(now_ms)
    }

    /// Applies the engine models and the target pauses of a route table.
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

    /// Sets the number of other entries that accept new calls and the in-flight calls of all other
    /// entries, by short hash of the service.
    pub fn set_peer_demand(
        &mut self,
        peer_count: u32,
        demand_by_service: &HashMap<u32, PeerDemand>,
    ) {
        for (name, service) in &mut self.services {
            let demand = demand_by_service
                .get(&short_hash(name))
                .cloned()
                .unwrap_or_default();
            service.set_peer_demand(peer_count, demand);
        }
    }

    /// Sets how the entries divide the limits of endpoints in this round of gossip.
    pub fn set_limit_division(&mut self, division: LimitDivision, now_ms: u64) {
        if self.division_rounds == 0 {
            self.retry_share = LimitShare::default();
            self.budgets.clear();
        }
        self.division_rounds = self.division_rounds.saturating_add(1);
        self.divide_retries(&division, now_ms);
        for (name, service) in &mut self.services {
            let division = ServiceDivision::new(&division, name, self.division_rounds);
            service.divide_limits(division, now_ms);
        }
        self.division = division;
    }

    fn divide_retries(&mut self, division: &LimitDivision, now_ms: u64) {
        self.retry_share
            .update(division.entry_share, division.settle_rounds);
        for budget in self.budgets.values_mut() {
            budget.set_share(self.retry_share.value(), now_ms);
        }
    }

    /// Sets the step times of slow endpoints, in percent of the usual step time, by short hash of
    /// their address; all other endpoints take the usual time.
    pub fn set_slowdowns(&mut self, slowdowns: &HashMap<u32, u32>) {
        for service in self.services.values_mut() {
            service.set_slowdowns(slowdowns);
        }
    }

    /// Records the mean of the last `count` pauses between events of a service's streams.
    pub fn observe_pauses(&mut self, service: &str, mean_pause_ms: f64, count: u32, now_ms: u64) {
        let service = self.service(service);
        service.observe_pauses(mean_pause_ms, count, now_ms);
    }

    /// Records that running calls of a service have made progress.
    pub fn record_progress(&mut self, service: &str, now_ms: u64) {
        self.service(service).record_progress(now_ms);
    }

    /// Requests an endpoint for a call; returns `None` when the call is queued.
    pub fn request_endpoint(
        &mut self,
        query: DispatchQuery,
        now_ms: u64,
    ) -> Option<DispatchDecision> {
        let call = query.call;
        let service = query.service.clone();
        if !self.services.contains_key(&service) {
            return Some(DispatchDecision::Refuse {
                code: RefusalCode::NoEndpoint,
                retry_after_ms: RETRY_AFTER_MS,
                obstacles: ObstacleCounts::default(),
            });
        }
        if query.is_first {
            self.budget(&service, now_ms).record_request();
        }
        let decision = self.service(&service).request_endpoint(query, now_ms);
        if !matches!(decision, Some(DispatchDecision::Refuse { .. })) {
            self.service_by_call.insert(call, service);
        }
        decision
    }

    /// Takes one retry from the budget of a service to move a call away from a silent or slow
    /// endpoint, the last in `exclude`.
    ///
    /// Returns `false` when the call is to stay where it is: no retry is left, all endpoints are
    /// stalled together, or only those in `exclude` accept it.
    pub fn try_move(&mut self, service: &str, exclude: &[String], now_ms: u64) -> bool {
        let state = self.services.get(service);
        let may_move = |state: &DirectService| {
            let is_at_slow_endpoint = exclude.last().is_some_and(|id| state.is_slow(id));
            let moving_helps = is_at_slow_endpoint || !state.is_stalled(now_ms);
            moving_helps && state.has_alternative(exclude, now_ms)
        };
        state.is_some_and(may_move) && self.try_retry(service, now_ms)
    }

    /// Moves a call away from a silent or slow endpoint, the last in the query's `exclude`: takes one retry
    /// from the budget of its service and a slot at another endpoint. The call still holds the slot that it
    /// has, so that no queued call gets it before the move is certain.
    ///
    /// Returns `None` when the call is to stay where it is: [`try_move`](Self::try_move) does not allow
    /// the move, or the rank group is down and its endpoint is not slow.
    pub fn move_call(&mut self, query: &DispatchQuery, now_ms: u64) -> Option<Arc<EndpointRecord>> {
        let state = self.services.get(&query.service)?;
        let endpoint = query.exclude.last();
        let is_at_slow_endpoint = endpoint.is_some_and(|id| state.is_slow(id));
        if state.is_paused(now_ms) && !is_at_slow_endpoint {
            return None;
        }
        if !self.try_move(&query.service, &query.exclude, now_ms) {
            return None;
        }
        let state = self.services.get_mut(&query.service)?;
        let record = state.assign(query, now_ms)?;
        self.service_by_call
            .insert(query.call, query.service.clone());
        Some(record)
    }

    /// Takes one retry from the budget of a service; returns `false` when none is left.
    pub fn try_retry(&mut self, service: &str, now_ms: u64) -> bool {
        self.budget(service, now_ms).try_retry(now_ms)
    }

    /// Returns after which time a call for a service that is refused now should come again.
    #[must_use]
    pub fn room_after_ms(&self, service: &str, now_ms: u64) -> u64 {
        let service = self.services.get(service);
        service.map_or(RETRY_AFTER_MS, |service| service.room_after_ms(now_ms))
    }

    /// Returns the retries that the budget of a service has; a part of one can't be used yet.
    #[must_use]
    pub fn retries_left(&self, service: &str) -> f64 {
        let budget = self.budgets.get(service);
        budget.map_or(0.0, SharedRetryBudget::retries_left)
    }

    /// Ends a running or queued call; returns the decisions on queued calls that this allows.
    pub fn end(
        &mut self,
        call: u64,
        result: SendResult,
        now_ms: u64,
    ) -> Vec<(u64, DispatchDecision)> {
        let Some(name) = self.service_by_call.remove(&call) else {
            return Vec::new();
        };
        let service = self.service(&name);
        service.end(call, result, now_ms);
        let decisions = service.advance(now_ms);
        self.forget_refused(&decisions);
        decisions
    }

    /// Records that an endpoint has begun to answer a call; returns the decisions on queued calls
    /// that this allows.
    pub fn record_answer_start(&mut self, call: u64, now_ms: u64) -> Vec<(u64, DispatchDecision)> {
        let Some(name) = self.service_by_call.get(&call).cloned() else {
            return Vec::new();
        };
        let service = self.service(&name);
        service.record_answer_start(call, now_ms);
        let decisions = service.advance(now_ms);
        self.forget_refused(&decisions);
        decisions
    }

    /// Records what the answer to a running call says about its endpoint's limit; returns the change
    /// to log.
    pub fn observe_limit(
        &mut self,
        call: u64,
        limit: &NamedLimit,
        request_id: &str,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let service = self.service_by_call.get(&call)?;
        let service = self.services.get_mut(service)?;
        service.observe_limit(call, limit, request_id, now_ms)
    }

    /// Records for how long the endpoint of a running call wants no calls of this entry, as its answer
    /// says; returns what is to be logged.
    pub fn observe_retry_after(
        &mut self,
        call: u64,
        retry_after: &RetryAfter,
        request_id: &str,
        now_ms: u64,
    ) -> Vec<PauseChange> {
        let service = self.service_by_call.get(&call);
        let service = service.and_then(|service| self.services.get_mut(service));
        service.map_or_else(Vec::new, |service| {
            service.observe_retry_after(call, retry_after, request_id, now_ms)
        })
    }

    /// Records that the endpoint of a running call says that it leaves; returns what is to be logged.
    pub fn observe_leaving(
        &mut self,
        call: u64,
        request_id: &str,
        now_ms: u64,
    ) -> Option<LeavingChange> {
        let service = self.service_by_call.get(&call)?;
        let service = self.services.get_mut(service)?;
        service.observe_leaving(call, request_id, now_ms)
    }

    /// Applies what the entry at `address` reports on the limits of endpoints; returns the changes to
    /// log.
    pub fn merge_limits(
        &mut self,
        address: &str,
        reports: &[EndpointLimitReport],
        now_ms: u64,
    ) -> Vec<LimitChange> {
        let source = LimitSource::Entry(address.to_owned());
        let valid = reports.iter().filter(|report| is_valid(report));
        let changes = valid.filter_map(|report| {
            let observation = LimitObservation {
                calls_per_s: report.calls_per_s,
                observed_ms: now_ms.saturating_sub(report.age_ms),
                source: source.clone(),
            };
            let mut services = self.services.values_mut();
            services.find_map(|service| {
                service.apply_limit(report.endpoint, observation.clone(), now_ms)
            })
        });
        changes.collect()
    }

    /// Returns what this entry knows of the limits of endpoints: at most `most` of them, those that
    /// have changed recently first, and a random choice of the others.
    pub fn limit_reports(&mut self, most: usize, now_ms: u64) -> Vec<EndpointLimitReport> {
        let endpoints = self.services.values().flat_map(DirectService::endpoints);
        let mut reports: Vec<(bool, u32, EndpointLimitReport)> = endpoints
            .filter_map(|endpoint| {
                let known = endpoint.limit.reported(now_ms)?;
                let changed_for_ms = now_ms.saturating_sub(endpoint.limit.changed_ms());
                let report = EndpointLimitReport {
                    endpoint: endpoint.limit_key,
                    calls_per_s: known.calls_per_s,
                    age_ms: now_ms.saturating_sub(known.observed_ms),
                };
                Some((
                    changed_for_ms >= RECENT_CHANGE_MS,
                    self.rng.random(),
                    report,
                ))
            })
            .collect();
        if reports.len() > most {
            reports.sort_by_key(|(is_old, number, _)| (*is_old, *number));
            reports.truncate(most);
        }
        reports.into_iter().map(|(_, _, report)| report).collect()
    }

    /// Returns the new calls of services with limited endpoints in 10 s, by name of the service.
    pub fn report_demand(&mut self, now_ms: u64) -> HashMap<String, u32> {
        let services = self.services.iter_mut();
        let reports = services
            .filter_map(|(name, service)| Some((name.clone(), service.report_demand(now_ms)?)));
        reports.collect()
    }

    /// Returns the endpoints that name limits, and what was done about it.
    #[must_use]
    pub fn limit_statuses(&self, now_ms: u64) -> Vec<LimitStatus> {
        let endpoints = self.services.values().flat_map(DirectService::endpoints);
        let statuses =
            endpoints.filter_map(|endpoint| endpoint.limit.status(&endpoint.record, now_ms));
        statuses.collect()
    }

    /// Returns the endpoints that want no calls of this entry for some time.
    #[must_use]
    pub fn pause_statuses(&self, now_ms: u64) -> Vec<PauseStatus> {
        let endpoints = self.services.values().flat_map(DirectService::endpoints);
        let statuses = endpoints.filter_map(|endpoint| {
            let record = &endpoint.record;
            endpoint.pause.status(&record.id, &record.service, now_ms)
        });
        statuses.collect()
    }

    /// Returns the number of listed endpoints that have said in an answer that they leave.
    #[must_use]
    pub fn leaving_count(&self) -> u64 {
        let endpoints = self.services.values().flat_map(DirectService::endpoints);
        let leaving = endpoints.filter(|endpoint| endpoint.leaving.is_known());
        leaving.map(|_| 1).sum()
    }

    /// Returns the limit that an endpoint names, as far as this entry knows.
    #[must_use]
    pub fn limit_of(&self, record: &EndpointRecord, now_ms: u64) -> Option<BelievedLimit> {
        let service = self.services.get(&record.service)?;
        service.endpoint(&record.id)?.limit.believed(now_ms)
    }

    /// Advances to the time `now_ms`; returns the decisions on queued calls that are due.
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

    fn budget(&mut self, service: &str, now_ms: u64) -> &mut SharedRetryBudget {
        let share = self.retry_share.value();
        let budget = SharedRetryBudget::new(self.allowance.used(), share, now_ms);
        let is_alone = self.division_rounds == 0;
        let budgets = &mut self.budgets;
        budgets
            .entry(service.to_owned())
            .or_insert_with(|| if is_alone { budget.filled() } else { budget })
    }

    fn forget_refused(&mut self, decisions: &[(u64, DispatchDecision)]) {
        for (call, decision) in decisions {
            if matches!(decision, DispatchDecision::Refuse { .. }) {
                self.service_by_call.remove(call);
            }
        }
    }

    fn service(&mut self, name: &str) -> &mut DirectService {
        if !self.services.contains_key(name) {
            let rng = SmallRng::from_rng(&mut self.rng);
            let division = ServiceDivision::new(&self.division, name, self.division_rounds);
            let service = DirectService::new(&self.availability_zone, rng, division);
            self.services.insert(name.to_owned(), service);
        }
        self.services
            .get_mut(name)
            .expect("the service was inserted above")
    }
}

/// Returns whether a reported limit, if there is one, is a finite number and not negative.
fn is_valid(report: &EndpointLimitReport) -> bool {
    let calls_per_s = report.calls_per_s;
    calls_per_s.is_none_or(|calls_per_s| calls_per_s.is_finite() && calls_per_s >= 0.0)
}
