//! Figures of one routing policy in one scenario.

use std::thread;
use std::thread::ScopedJoinHandle;

use bon::Builder;

use crate::figures::as_f64;
use crate::figures::percentile;
use crate::request_record::RequestRecord;
use crate::routing_run::RUN_S;
use crate::routing_run::RoutingRun;
use crate::routing_run::RunOutcome;
use crate::routing_scenario::EndpointNews;
use crate::routing_scenario::RoutePolicy;
use crate::routing_scenario::Scenario;

/// Runs that each row pools, whose seeds follow on the first.
const RUNS_PER_ROW: u64 = 3;
/// Time to the first token within which an answer counts as good.
pub const IN_TIME_MS: u64 = 4_000;

/// Figures of one policy in one scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingRow {
    /// What happened.
    pub scenario: Scenario,
    /// How entries selected endpoints.
    pub policy: RoutePolicy,
    /// Number of requests.
    pub requests: usize,
    /// Time to the first token of whole answers that half of them kept.
    pub first_token_p50_ms: u64,
    /// The same, that 95 in 100 kept.
    pub first_token_p95_ms: u64,
    /// The same, that 99 in 100 kept.
    pub first_token_p99_ms: u64,
    /// Answers that were whole and in time, in 100 requests.
    pub goodput_percent: f64,
    /// Prompt tokens that were cached, in 100 that were prefilled or cached.
    pub cached_percent: f64,
    /// Sends to endpoints over requests.
    pub sends_per_request: f64,
    /// Refusals by entries over requests.
    pub refusals_per_request: f64,
    /// Blocks that the cache events of one endpoint name in a second.
    pub event_blocks_per_s: f64,
}

/// Sizes and settings of the runs of one table.
#[derive(Debug, Clone, Builder)]
pub struct RoutingComparison {
    /// Seed of the first run.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of endpoints that one entry sends to.
    #[builder(default = usize::MAX)]
    pub endpoints_per_entry: usize,
    /// What entries hear of endpoints.
    #[builder(default)]
    pub news: EndpointNews,
    /// Policies that are compared.
    #[builder(default = RoutePolicy::ALL.to_vec())]
    pub policies: Vec<RoutePolicy>,
}

impl RoutingComparison {
    /// Returns the rows of all policies in one scenario.
    ///
    /// # Panics
    ///
    /// Panics if a run panics.
    #[must_use]
    pub fn rows(&self, scenario: Scenario) -> Vec<RoutingRow> {
        thread::scope(|scope| {
            let handles: Vec<_> = self
                .policies
                .iter()
                .map(|policy| scope.spawn(move || self.row(scenario, *policy)))
                .collect();
            let joined = handles.into_iter().map(ScopedJoinHandle::join);
            joined.map(|row| row.expect("a run ends")).collect()
        })
    }

    fn row(&self, scenario: Scenario, policy: RoutePolicy) -> RoutingRow {
        let outcomes: Vec<RunOutcome> = (self.seed..self.seed + RUNS_PER_ROW)
            .map(|seed| self.run(scenario, policy, seed))
            .collect();
        let event_blocks: u64 = outcomes.iter().map(|outcome| outcome.event_blocks).sum();
        let endpoint_seconds = RUNS_PER_ROW * RUN_S * self.endpoints as u64;
        let records: Vec<RequestRecord> = outcomes
            .into_iter()
            .flat_map(|outcome| outcome.records)
            .collect();
        RoutingRow {
            event_blocks_per_s: ratio(event_blocks, endpoint_seconds),
            ..RoutingRow::new(scenario, policy, &records)
        }
    }

    fn run(&self, scenario: Scenario, policy: RoutePolicy, seed: u64) -> RunOutcome {
        RoutingRun::builder()
            .policy(policy)
            .scenario(scenario)
            .seed(seed)
            .entries(self.entries)
            .endpoints(self.endpoints)
            .endpoints_per_entry(self.endpoints_per_entry)
            .news(self.news)
            .build()
            .run()
    }
}

impl RoutingRow {
    fn new(scenario: Scenario, policy: RoutePolicy, records: &[RequestRecord]) -> Self {
        let mut first_tokens_ms: Vec<u64> = records
            .iter()
            .filter(|record| record.is_whole)
            .filter_map(|record| record.first_token_ms)
            .collect();
        first_tokens_ms.sort_unstable();
        let good = records.iter().filter(|record| is_good(record)).count() as u64;
        let total = records.len() as u64;
        let sum = |part: fn(&RequestRecord) -> u64| records.iter().map(part).sum::<u64>();
        let prompts =
            sum(|record| record.prompt_tokens * u64::from(record.first_token_ms.is_some()));
        Self {
            scenario,
            policy,
            requests: records.len(),
            first_token_p50_ms: percentile(&first_tokens_ms, 50),
            first_token_p95_ms: percentile(&first_tokens_ms, 95),
            first_token_p99_ms: percentile(&first_tokens_ms, 99),
            goodput_percent: ratio(good, total) * 100.0,
            cached_percent: ratio(sum(|record| record.cached_tokens), prompts) * 100.0,
            sends_per_request: ratio(sum(|record| u64::from(record.sends)), total),
            refusals_per_request: ratio(sum(|record| u64::from(record.refusals)), total),
            event_blocks_per_s: 0.0,
        }
    }
}

/// Whole, and in time reckoned from the caller's first attempt.
fn is_good(record: &RequestRecord) -> bool {
    record.is_whole
        && record
            .first_token_ms
            .is_some_and(|first_token_ms| first_token_ms <= IN_TIME_MS)
}

fn ratio(part: u64, whole: u64) -> f64 {
    as_f64(part) / as_f64(whole.max(1))
}
