//! Several entries, each with partial and stale knowledge, before a set of fake engines.

use std::collections::BTreeMap;

use bon::Builder;
use pomeloramp_lib::BlockHash;
use pomeloramp_lib::CacheEvent;
use pomeloramp_lib::EndpointId;
use pomeloramp_lib::EndpointSubset;
use pomeloramp_lib::PrefixChain;
use pomeloramp_lib::protos::control::LoadReport;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::request_record::RequestRecord;
use crate::routing_entry::RoutingEntry;
use crate::routing_entry::endpoint_name;
use crate::routing_scenario::CacheNews;
use crate::routing_scenario::EndpointNews;
use crate::routing_scenario::RoutePolicy;
use crate::routing_scenario::Scenario;
use pomeloramp_testutils::EngineEvent;
use pomeloramp_testutils::EngineRequest;
use pomeloramp_testutils::FakeEngine;
use pomeloramp_testutils::RoutingWorkload;

const HOP_MS: u64 = 2;
const REPORT_LAG_MS: u64 = 150;
const CACHE_EVENT_LAG_MS: u64 = 400;
const LOST_CACHE_EVENTS_PERCENT: u32 = 20;
const DEADLINE_MS: u64 = 4_000;
const CALLER_PAUSE_MS: u64 = 500;
const CALLER_ATTEMPTS: u32 = 5;
const ENTRY_ATTEMPTS: usize = 3;
const ZONES: usize = 3;

/// Start of the scenario's fault or rush.
const EVENT_START_MS: u64 = 40_000;
/// Requests that arrive from here to the end of the arrivals are measured.
const WARM_UP_MS: u64 = 20_000;
const ARRIVALS_END_MS: u64 = 90_000;
const RUN_END_MS: u64 = 110_000;
/// Length of a run.
pub(crate) const RUN_S: u64 = RUN_END_MS / 1_000;

/// Settings of a run.
#[derive(Debug, Clone, Builder)]
pub struct RoutingRun {
    /// How entries select endpoints.
    pub policy: RoutePolicy,
    /// What happens.
    pub scenario: Scenario,
    /// Seed of all randomness.
    pub seed: u64,
    /// Number of entries.
    #[builder(default = 8)]
    pub entries: usize,
    /// Number of endpoints.
    #[builder(default = 16)]
    pub endpoints: usize,
    /// Number of endpoints that one entry sends to.
    #[builder(default = usize::MAX)]
    pub endpoints_per_entry: usize,
    /// What entries hear of endpoints.
    pub news: EndpointNews,
}

/// What a run shows.
pub struct RunOutcome {
    /// The measured requests.
    pub records: Vec<RequestRecord>,
    /// Blocks named by the cache events of all endpoints.
    pub event_blocks: u64,
}

#[derive(Debug)]
enum Event {
    Arrive,
    Attempt(usize),
    AtEngine(usize, usize),
    Step(usize),
    Report(usize),
    ReportAtEntry(usize, usize, LoadReport),
    CacheEventAtEntry(usize, usize, CacheUpdate),
    Failed(usize, usize),
    FirstToken(usize, usize, u64),
    Finished(usize, usize, LoadReport),
    GiveUp(usize, u32),
    Fault(bool),
}

/// A cache event on its way to an entry.
#[derive(Debug, Clone)]
struct CacheUpdate {
    sequence: u64,
    made_at_ms: u64,
    stored: Option<PrefixChain>,
    removed: Vec<BlockHash>,
}

/// One request in flight.
#[derive(Debug)]
struct Flight {
    request: EngineRequest,
    chain: PrefixChain,
    entry: usize,
    record: RequestRecord,
    caller_attempts: u32,
    tried: Vec<EndpointId>,
    /// Endpoint of the send that is under way.
    endpoint: Option<usize>,
}

struct World {
    run: RoutingRun,
    now_ms: u64,
    next_event: u64,
    events: BTreeMap<(u64, u64), Event>,
    rng: SmallRng,
    /// Kept apart, so that all policies get the same requests.
    arrivals_rng: SmallRng,
    workload: RoutingWorkload,
    engines: Vec<FakeEngine>,
    is_down: bool,
    refusing_endpoint: Option<usize>,
    cache_sequences: Vec<u64>,
    entries: Vec<RoutingEntry>,
    flights: Vec<Flight>,
    event_blocks: u64,
}

impl RoutingRun {
    /// Runs the scenario and returns the records of the measured requests.
    #[must_use]
    pub fn run(&self) -> RunOutcome {
        let mut world = World::new(self);
        while let Some(((now_ms, _), event)) = world.events.pop_first() {
            if now_ms > RUN_END_MS {
                break;
            }
            world.now_ms = now_ms;
            world.handle(event);
        }
        let records = world.flights.into_iter().map(|flight| flight.record);
        RunOutcome {
            records: records
                .filter(|record| record.arrived_at_ms >= WARM_UP_MS)
                .collect(),
            event_blocks: world.event_blocks,
        }
    }

    fn requests_per_s(&self, now_ms: u64) -> f64 {
        let in_event = (EVENT_START_MS..EVENT_START_MS + 20_000).contains(&now_ms);
        let load_percent = match self.scenario {
            Scenario::Rush if in_event => 130,
            _ => 70,
        };
        let slots = self.endpoints as u64 * u64::from(FakeEngine::SLOTS);
        let request_ms = RoutingWorkload::mean_output_tokens() * FakeEngine::STEP_MS + 250;
        let per_s = slots * load_percent * 10 / request_ms;
        f64::from(u32::try_from(per_s).unwrap_or(u32::MAX))
    }

    fn event_ms(&self) -> u64 {
        match self.scenario {
            Scenario::Outage => 5_000,
            _ => 20_000,
        }
    }
}

impl World {
    fn new(run: &RoutingRun) -> Self {
        let mut rng = SmallRng::seed_from_u64(run.seed);
        let drift_interval_ms = match run.scenario {
            Scenario::DriftingPrefixes => 500,
            _ => 0,
        };
        let zone_of = |number: usize| number % ZONES;
        let zones: Vec<usize> = (0..run.endpoints).map(zone_of).collect();
        let subsets = subsets(run);
        let sharing = run.entries * run.endpoints_per_entry.min(run.endpoints) / run.endpoints;
        let entries = (0..run.entries)
            .map(|number| {
                let mut entry = RoutingEntry::new(
                    run.policy,
                    u32::try_from(sharing.saturating_sub(1)).unwrap_or(0),
                    zone_of(number),
                    &zones,
                    rng.random(),
                );
                entry.keep_only(&subsets[number]);
                entry.suspect_after_ms = 3 * run.news.report_interval_ms;
                entry
            })
            .collect();
        let mut world = Self {
            run: run.clone(),
            now_ms: 0,
            next_event: 0,
            events: BTreeMap::new(),
            rng,
            arrivals_rng: SmallRng::seed_from_u64(!run.seed),
            workload: RoutingWorkload::new(drift_interval_ms),
            engines: (0..run.endpoints).map(|_| FakeEngine::new()).collect(),
            is_down: false,
            refusing_endpoint: None,
            cache_sequences: vec![0; run.endpoints],
            entries,
            flights: Vec::new(),
            event_blocks: 0,
        };
        world.after(0, Event::Arrive);
        world.after(EVENT_START_MS, Event::Fault(true));
        world.after(EVENT_START_MS + run.event_ms(), Event::Fault(false));
        for endpoint in 0..run.endpoints {
            let offset_ms = world.rng.random_range(0..run.news.report_interval_ms);
            world.after(offset_ms % FakeEngine::STEP_MS, Event::Step(endpoint));
            world.after(offset_ms, Event::Report(endpoint));
        }
        world
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now_ms + delay_ms, self.next_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Attempt(id) => self.attempt(id),
            Event::AtEngine(id, endpoint) => self.at_engine(id, endpoint),
            Event::Step(endpoint) => self.step(endpoint),
            Event::Report(endpoint) => self.report(endpoint),
            Event::ReportAtEntry(entry, endpoint, report) => {
                self.entries[entry].take_report(endpoint, &report, self.now_ms);
            }
            Event::CacheEventAtEntry(entry, endpoint, update) => {
                let event = CacheEvent::builder()
                    .sequence(update.sequence)
                    .made_at_ms(update.made_at_ms)
                    .maybe_stored(update.stored.as_ref())
                    .removed(&update.removed)
                    .build();
                self.entries[entry].take_cache_event(endpoint, &event);
            }
            Event::Failed(id, endpoint) => self.failed(id, endpoint),
            Event::FirstToken(id, endpoint, cached_tokens) => {
                self.first_token(id, endpoint, cached_tokens);
            }
            Event::Finished(id, endpoint, report) => self.finished(id, endpoint, &report),
            Event::GiveUp(id, attempt) => self.give_up(id, attempt),
            Event::Fault(is_start) => self.fault(is_start),
        }
    }

    fn arrive(&mut self) {
        let id = self.flights.len();
        let request = self.workload.draw(id, self.now_ms, &mut self.arrivals_rng);
        let record = RequestRecord {
            arrived_at_ms: self.now_ms,
            prompt_tokens: request.prompt_tokens(),
            ..RequestRecord::default()
        };
        self.flights.push(Flight {
            chain: PrefixChain::from(request.blocks.clone()),
            request,
            entry: 0,
            record,
            caller_attempts: 0,
            tried: Vec::new(),
            endpoint: None,
        });
        self.after(0, Event::Attempt(id));
        let uniform: f64 = self.arrivals_rng.random();
        let gap_ms = -(1.0 - uniform).ln() * 1_000.0 / self.run.requests_per_s(self.now_ms);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let gap_ms = (gap_ms + self.arrivals_rng.random::<f64>()) as u64;
        if self.now_ms + gap_ms < ARRIVALS_END_MS {
            self.after(gap_ms, Event::Arrive);
        }
    }

    /// The caller sends the request to any entry, for the first time or again.
    fn attempt(&mut self, id: usize) {
        let flight = &mut self.flights[id];
        flight.caller_attempts += 1;
        flight.tried.clear();
        flight.entry = self.rng.random_range(0..self.entries.len());
        let attempt = flight.caller_attempts;
        self.entries[flight.entry].record_request();
        self.after(DEADLINE_MS, Event::GiveUp(id, attempt));
        self.route(id);
    }

    fn route(&mut self, id: usize) {
        let flight = &mut self.flights[id];
        let entry = &mut self.entries[flight.entry];
        let choice = entry.choose(
            &flight.request,
            &flight.chain,
            &flight.tried,
            DEADLINE_MS,
            self.now_ms,
        );
        match choice {
            Ok(endpoint) => {
                flight.record.sends += 1;
                flight.endpoint = Some(endpoint);
                self.after(HOP_MS, Event::AtEngine(id, endpoint));
            }
            Err(retry_after_ms) => {
                flight.record.refusals += 1;
                self.call_again(id, retry_after_ms);
            }
        }
    }

    fn call_again(&mut self, id: usize, pause_ms: u64) {
        let flight = &mut self.flights[id];
        flight.endpoint = None;
        if flight.caller_attempts < CALLER_ATTEMPTS {
            self.after(pause_ms, Event::Attempt(id));
        }
    }

    fn at_engine(&mut self, id: usize, endpoint: usize) {
        if self.is_down || self.refusing_endpoint == Some(endpoint) {
            self.after(HOP_MS, Event::Failed(id, endpoint));
        } else {
            self.engines[endpoint].submit(self.flights[id].request.clone());
        }
    }

    fn step(&mut self, endpoint: usize) {
        self.after(FakeEngine::STEP_MS, Event::Step(endpoint));
        for event in self.engines[endpoint].step() {
            match event {
                EngineEvent::FirstToken { id, cached_tokens } => {
                    self.after(HOP_MS, Event::FirstToken(id, endpoint, cached_tokens));
                }
                EngineEvent::Finished { id } => {
                    // The word beside an answer still counts the request.
                    let mut report = self.engines[endpoint].report();
                    report.running_requests += 1;
                    self.after(HOP_MS, Event::Finished(id, endpoint, report));
                }
            }
        }
    }

    fn report(&mut self, endpoint: usize) {
        self.after(self.run.news.report_interval_ms, Event::Report(endpoint));
        if self.is_down {
            return;
        }
        let report = self.engines[endpoint].report();
        for entry in 0..self.entries.len() {
            let lag_ms = REPORT_LAG_MS + self.rng.random_range(0..REPORT_LAG_MS / 3);
            self.after(lag_ms, Event::ReportAtEntry(entry, endpoint, report));
        }
        self.cache_events(endpoint);
    }

    fn cache_events(&mut self, endpoint: usize) {
        let removed = self.engines[endpoint].take_removed();
        let stored = self.engines[endpoint].take_stored();
        let chains: Vec<Option<PrefixChain>> = match self.run.news.cache {
            CacheNews::None => return,
            CacheNews::Removed => vec![None],
            CacheNews::All => stored
                .iter()
                .map(|stored| Some(PrefixChain::from(stored.blocks.clone())))
                .chain([None])
                .collect(),
        };
        let new_blocks: usize = stored.iter().map(|stored| stored.new_blocks).sum();
        self.event_blocks += removed.len() as u64;
        if self.run.news.cache == CacheNews::All {
            self.event_blocks += new_blocks as u64;
        }
        for stored in chains {
            self.cache_sequences[endpoint] += 1;
            let update = CacheUpdate {
                sequence: self.cache_sequences[endpoint],
                made_at_ms: self.now_ms,
                removed: if stored.is_none() {
                    removed.clone()
                } else {
                    Vec::new()
                },
                stored,
            };
            for entry in 0..self.entries.len() {
                if self.rng.random_range(0..100) >= LOST_CACHE_EVENTS_PERCENT {
                    let event = Event::CacheEventAtEntry(entry, endpoint, update.clone());
                    self.after(CACHE_EVENT_LAG_MS, event);
                }
            }
        }
    }

    /// The send failed; the entry may send the request elsewhere.
    fn failed(&mut self, id: usize, endpoint: usize) {
        let flight = &mut self.flights[id];
        if flight.endpoint != Some(endpoint) {
            return;
        }
        flight.endpoint = None;
        let had_first_token = flight.record.first_token_ms.take().is_some();
        self.entries[flight.entry].note_end(id, endpoint, self.now_ms);
        flight
            .tried
            .push(EndpointId(u32::try_from(endpoint).unwrap_or(u32::MAX)));
        let may_retry = !had_first_token
            && flight.tried.len() < ENTRY_ATTEMPTS
            && self.entries[flight.entry].try_retry(self.now_ms);
        if may_retry {
            self.route(id);
        } else {
            self.call_again(id, CALLER_PAUSE_MS);
        }
    }

    fn first_token(&mut self, id: usize, endpoint: usize, cached_tokens: u64) {
        let flight = &mut self.flights[id];
        if flight.endpoint == Some(endpoint) {
            flight.record.first_token_ms = Some(self.now_ms - flight.record.arrived_at_ms);
            flight.record.cached_tokens = cached_tokens;
            self.entries[flight.entry].note_first_token(id, endpoint, self.now_ms);
        }
    }

    fn finished(&mut self, id: usize, endpoint: usize, report: &LoadReport) {
        let flight = &mut self.flights[id];
        if flight.endpoint == Some(endpoint) {
            flight.endpoint = None;
            flight.record.is_whole = true;
            if self.run.news.words {
                self.entries[flight.entry].take_word(endpoint, report, self.now_ms);
            }
            self.entries[flight.entry].note_end(id, endpoint, self.now_ms);
        }
    }

    /// The caller waits no longer for the first token of this attempt.
    fn give_up(&mut self, id: usize, attempt: u32) {
        let flight = &mut self.flights[id];
        let is_waiting =
            flight.caller_attempts == attempt && flight.record.first_token_ms.is_none();
        if let (true, Some(endpoint)) = (is_waiting, flight.endpoint) {
            self.entries[flight.entry].note_end(id, endpoint, self.now_ms);
            self.engines[endpoint].cancel(id);
            self.call_again(id, CALLER_PAUSE_MS);
        }
    }

    fn fault(&mut self, is_start: bool) {
        match self.run.scenario {
            Scenario::OneSlow => self.engines[0].speed_percent = if is_start { 33 } else { 100 },
            Scenario::OneStalled => self.engines[0].speed_percent = if is_start { 0 } else { 100 },
            Scenario::OneRefusing => self.refusing_endpoint = is_start.then_some(0),
            Scenario::Outage => {
                self.is_down = is_start;
                if !is_start && self.run.news.restarts {
                    let endpoints = self.engines.len();
                    for entry in &mut self.entries {
                        (0..endpoints).for_each(|endpoint| entry.forget_prefixes(endpoint));
                    }
                }
                for endpoint in 0..self.engines.len() {
                    for id in self.engines[endpoint].crash() {
                        self.after(HOP_MS, Event::Failed(id, endpoint));
                    }
                }
            }
            Scenario::Steady | Scenario::DriftingPrefixes | Scenario::Rush => {}
        }
    }
}

/// Chooses the endpoints of each entry as the daemon does.
fn subsets(run: &RoutingRun) -> Vec<Vec<usize>> {
    let entries: Vec<String> = (0..run.entries).map(|n| format!("entry-{n}")).collect();
    let endpoints: Vec<String> = (0..run.endpoints).map(endpoint_name).collect();
    let entries: Vec<&str> = entries.iter().map(String::as_str).collect();
    let endpoints: Vec<&str> = endpoints.iter().map(String::as_str).collect();
    let subset = EndpointSubset {
        service: "quote-draft",
        size: run.endpoints_per_entry,
    };
    entries
        .iter()
        .map(|entry| {
            let chosen = subset.choose(entry, &entries, &endpoints);
            (0..run.endpoints)
                .filter(|&endpoint| chosen.iter().any(|name| *name == endpoints[endpoint]))
                .collect()
        })
        .collect()
}
