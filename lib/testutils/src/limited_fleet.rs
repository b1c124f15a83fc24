//! A simulated fleet of entries, with their gossip, before endpoints that name limits,
//! ask for time or fail.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use pomeloramp_lib::DirectDispatcher;
use pomeloramp_lib::DispatchDecision;
use pomeloramp_lib::DispatchQuery;
use pomeloramp_lib::EndpointRecord;
use pomeloramp_lib::EntryGossip;
use pomeloramp_lib::GossipSettings;
use pomeloramp_lib::NamedLimit;
use pomeloramp_lib::RetryAfter;
use pomeloramp_lib::RetryAllowance;
use pomeloramp_lib::SendResult;
use pomeloramp_lib::protos::control::GossipDemand;
use pomeloramp_lib::protos::control::GossipMessage;
use pomeloramp_lib::protos::control::GossipReport;
use pomeloramp_lib::short_hash;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::dispatch::RETRY_ALLOWANCE;
use crate::limit_bound;
use crate::limit_bound::CONTACT;
use crate::limit_bound::TOLD_TIME;
use crate::rest_bound;
use crate::rest_bound::RequestForTime;

const SERVICE: &str = "s1";
const STEP_MS: u64 = 10;
const ROUND_MS: u64 = 200;
const ADVANCE_MS: u64 = 20;
const ANSWER_MS: u64 = 40;
const SLOTS: u32 = 12;
/// Most limits in one report.
const MAX_LIMITS: usize = 32;
/// Range of the time that a datagram takes.
const DATAGRAM_MS: Range<u64> = 1..15;
/// Share of the datagrams that are lost.
const LOST_SHARE: f64 = 0.01;
/// Most retries of a call whose endpoints all fail.
const MAX_RETRIES: usize = 3;
const ENTRY_PREFIX: &str = "entry-";
/// Number of entries that a new one knows from its settings.
const SEED_COUNT: usize = 3;
/// A fault of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryFault {
    /// The process stands still for this time, in milliseconds; its clock goes on.
    Freeze(u64),
    /// The process is killed and starts again after this time, in milliseconds, without memory.
    Restart(u64),
    /// No datagram from or to the entry arrives for this time, in milliseconds.
    Cut(u64),
}

/// One call that reached an endpoint.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at_ms: u64,
    entry: usize,
    /// Whether the bound counts the call: its entry knew the limit and had no fault.
    is_counted: bool,
}

/// An answer of an endpoint that asked an entry for time.
#[derive(Debug, Clone, Copy)]
struct AskedEntry {
    entry: usize,
    at_ms: u64,
    length_ms: u64,
}

/// A call that an endpoint is answering.
#[derive(Debug)]
struct RunningCall {
    number: u64,
    endpoint: usize,
    ends_ms: u64,
}

#[derive(Debug)]
struct Entry {
    gossip: EntryGossip,
    dispatcher: DirectDispatcher,
    report: GossipReport,
    /// Start of the process; its clock counts from there.
    started_ms: u64,
    /// Time until which the process does nothing.
    idle_until_ms: u64,
    cut_until_ms: u64,
    /// End of the last fault.
    fault_until_ms: Option<u64>,
    inbox: VecDeque<(u64, Arc<GossipMessage>)>,
    running: Vec<RunningCall>,
    /// Time at which the entry first passed on the limit of an endpoint.
    told_ms: HashMap<usize, u64>,
    calls_per_s: f64,
}

/// A simulated fleet of entries before endpoints that name limits, ask for time or fail.
#[derive(Debug)]
pub struct LimitedFleet {
    rng: SmallRng,
    now_ms: u64,
    entries: Vec<Entry>,
    records: Vec<Arc<EndpointRecord>>,
    /// Limit of each endpoint, in calls a second.
    limits: Vec<Option<f64>>,
    /// Time at which each endpoint first named its present limit.
    named_ms: Vec<u64>,
    arrivals: Vec<Vec<Arrival>>,
    allowance: RetryAllowance,
    next_call: u64,
    refused: u64,
    /// Time that each endpoint asks for when it turns a call away; absent while it runs calls.
    asked_ms: Vec<Option<u64>>,
    /// Answers with which each endpoint asked for time.
    requests_for_time: Vec<Vec<AskedEntry>>,
    /// Whether all endpoints fail all calls.
    is_failing: bool,
    /// Times of new calls and of retries.
    new_calls_ms: Vec<u64>,
    retries_ms: Vec<u64>,
}

impl LimitedFleet {
    /// Starts entries, each with its number of new calls a second, before `endpoints` endpoints.
    #[must_use]
    pub fn start(calls_per_s: &[f64], endpoints: usize, seed: u64) -> Self {
        Self::start_with_retries(calls_per_s, endpoints, RETRY_ALLOWANCE, seed)
    }

    /// Starts the same where the platform allows so many retries.
    #[must_use]
    pub fn start_with_retries(
        calls_per_s: &[f64],
        endpoints: usize,
        allowance: RetryAllowance,
        seed: u64,
    ) -> Self {
        let record = |number: usize| EndpointRecord {
            id: format!("i-{number}"),
            service: SERVICE.to_owned(),
            address: format!("10.0.0.{number}:80"),
            availability_zone: "zone-1".to_owned(),
            slots: SLOTS,
            is_leaving: false,
            born_ms: 1,
        };
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            entries: Vec::new(),
            records: (0..endpoints)
                .map(|number| Arc::new(record(number)))
                .collect(),
            limits: vec![None; endpoints],
            named_ms: vec![0; endpoints],
            arrivals: vec![Vec::new(); endpoints],
            allowance,
            next_call: 0,
            refused: 0,
            asked_ms: vec![None; endpoints],
            requests_for_time: vec![Vec::new(); endpoints],
            is_failing: false,
            new_calls_ms: Vec::new(),
            retries_ms: Vec::new(),
        };
        for (number, calls_per_s) in calls_per_s.iter().enumerate() {
            let entry = fleet.new_entry(number, *calls_per_s);
            fleet.entries.push(entry);
        }
        fleet
    }

    /// Lets an endpoint name a limit, or none.
    pub fn name_limit(&mut self, endpoint: usize, calls_per_s: Option<f64>) {
        self.limits[endpoint] = calls_per_s;
        self.named_ms[endpoint] = self.now_ms;
        for entry in &mut self.entries {
            entry.told_ms.remove(&endpoint);
        }
    }

    /// Lets an endpoint turn calls away, each time asking for some time, or run them.
    pub fn ask_for_time(&mut self, endpoint: usize, length_ms: Option<u64>) {
        self.asked_ms[endpoint] = length_ms;
    }

    /// Returns the most calls that an endpoint got from an entry in a time in which it wanted none.
    #[must_use]
    pub fn most_unwanted_calls(&self) -> usize {
        let unwanted = |(asked, arrivals): (&Vec<AskedEntry>, &Vec<Arrival>)| {
            let entries = 0..self.entries.len();
            let by_entry = entries.map(|entry| unwanted_calls(asked, arrivals, entry));
            by_entry.max().unwrap_or(0)
        };
        let endpoints = self.requests_for_time.iter().zip(&self.arrivals);
        endpoints.map(unwanted).max().unwrap_or(0)
    }

    /// Returns the most calls that any endpoint got within `window_ms`, from `since_ms` on.
    #[must_use]
    pub fn most_calls_within(&self, window_ms: u64, since_ms: u64) -> usize {
        let of_endpoint = |arrivals: &Vec<Arrival>| {
            let times = arrivals.iter().map(|arrival| arrival.at_ms);
            let times: Vec<u64> = times.filter(|at_ms| *at_ms >= since_ms).collect();
            let ends = times
                .iter()
                .map(|at_ms| times.partition_point(|end| *end < at_ms + window_ms));
            let counts = ends.enumerate().map(|(start, end)| end - start);
            counts.max().unwrap_or(0)
        };
        self.arrivals.iter().map(of_endpoint).max().unwrap_or(0)
    }

    /// Lets all endpoints fail all calls, or none.
    pub fn set_failing(&mut self, is_failing: bool) {
        self.is_failing = is_failing;
    }

    /// Returns the times of new calls and those of retries.
    #[must_use]
    pub fn retries(&self) -> (&[u64], &[u64]) {
        (&self.new_calls_ms, &self.retries_ms)
    }

    /// Sets the new calls a second at an entry.
    pub fn set_demand(&mut self, entry: usize, calls_per_s: f64) {
        self.entries[entry].calls_per_s = calls_per_s;
    }

    /// Injects a fault into an entry.
    pub fn inject(&mut self, entry: usize, fault: EntryFault) {
        let until_ms = match fault {
            EntryFault::Freeze(length_ms) => {
                self.entries[entry].idle_until_ms = self.now_ms + length_ms;
                self.now_ms + length_ms
            }
            EntryFault::Restart(length_ms) => {
                let calls_per_s = self.entries[entry].calls_per_s;
                let mut restarted = self.new_entry(entry, calls_per_s);
                restarted.started_ms = self.now_ms + length_ms;
                restarted.idle_until_ms = restarted.started_ms;
                self.entries[entry] = restarted;
                self.now_ms + length_ms
            }
            EntryFault::Cut(length_ms) => {
                self.entries[entry].cut_until_ms = self.now_ms + length_ms;
                self.now_ms + length_ms
            }
        };
        self.entries[entry].fault_until_ms = Some(until_ms);
    }

    /// Plays the fleet for some time.
    pub fn play(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for entry in 0..self.entries.len() {
                if self.now_ms >= self.entries[entry].idle_until_ms {
                    self.step(entry);
                }
            }
        }
    }

    /// Returns the calls that reached all endpoints since `since_ms` of the simulation, a second.
    #[must_use]
    pub fn calls_per_s(&self, since_ms: u64) -> f64 {
        let arrivals = self.arrivals.iter().flatten();
        let count = arrivals.filter(|arrival| arrival.at_ms >= since_ms).count();
        as_f64(count) / as_f64(self.now_ms - since_ms) * 1e3
    }

    /// Returns the time of the simulation.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the number of refused calls.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns by how many calls the busiest window of any endpoint exceeds its bound; negative where
    /// all bounds are kept. Calls of entries with a fault count too if `counts_faulty`.
    #[must_use]
    pub fn worst_excess(&self, counts_faulty: bool) -> f64 {
        let endpoints = 0..self.records.len();
        let excess = endpoints.filter_map(|endpoint| self.excess(endpoint, counts_faulty));
        excess.fold(f64::NEG_INFINITY, f64::max)
    }

    fn excess(&self, endpoint: usize, counts_faulty: bool) -> Option<f64> {
        let calls_per_s = self.limits[endpoint]?;
        let from = Duration::from_millis(self.named_ms[endpoint]) + CONTACT;
        let counted = self.arrivals[endpoint].iter();
        let counted = counted.filter(|arrival| arrival.is_counted || counts_faulty);
        let times: Vec<Duration> = counted
            .map(|arrival| Duration::from_millis(arrival.at_ms))
            .filter(|at| *at >= from)
            .collect();
        let most = limit_bound::most_in_a_window(&times);
        Some(f64::from(most) - limit_bound::allowed_calls(calls_per_s))
    }

    fn new_entry(&mut self, number: usize, calls_per_s: f64) -> Entry {
        let address = entry_address(number);
        let seeds = (0..SEED_COUNT).map(entry_address);
        let settings = GossipSettings::builder()
            .own_address(address.clone())
            .seed_addresses(seeds.collect())
            .interval_ms(ROUND_MS)
            .build();
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let mut dispatcher = DirectDispatcher::new("zone-1", self.allowance, rng);
        dispatcher.set_endpoints(&self.records, 0);
        let report = GossipReport {
            gossip_address: address.clone(),
            incarnation: self.now_ms + 1,
            serves: true,
            ..GossipReport::default()
        };
        Entry {
            gossip: EntryGossip::new(settings),
            dispatcher,
            report,
            started_ms: self.now_ms,
            idle_until_ms: 0,
            cut_until_ms: 0,
            fault_until_ms: None,
            inbox: VecDeque::new(),
            running: Vec::new(),
            told_ms: HashMap::new(),
            calls_per_s,
        }
    }

    /// Lets one entry do what is due.
    fn step(&mut self, entry: usize) {
        self.receive(entry);
        // The entries' rounds are spread over the interval.
        let phase_ms = as_u64(entry) * 37 / STEP_MS * STEP_MS;
        if (self.now_ms + phase_ms).is_multiple_of(ROUND_MS) {
            self.gossip(entry);
        }
        self.end_calls(entry);
        if self.now_ms.is_multiple_of(ADVANCE_MS) {
            let now_ms = self.entries[entry].local_ms(self.now_ms);
            let decisions = self.entries[entry].dispatcher.advance(now_ms);
            self.apply(entry, decisions);
        }
        let expected = self.entries[entry].calls_per_s * as_f64(STEP_MS) / 1e3;
        let mut due = expected;
        while due > 0.0 {
            if self.rng.random::<f64>() < due {
                self.call(entry);
            }
            due -= 1.0;
        }
    }

    fn receive(&mut self, entry: usize) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[entry];
        let local_ms = entry.local_ms(now_ms);
        while entry
            .inbox
            .front()
            .is_some_and(|(at_ms, _)| *at_ms <= now_ms)
        {
            let Some((_, message)) = entry.inbox.pop_front() else {
                return;
            };
            if let Some(report) = &message.word {
                entry
                    .dispatcher
                    .merge_limits(&report.gossip_address, &report.limits, local_ms);
            }
            entry.gossip.receive(&message, local_ms);
        }
    }

    /// Sends one round of reports.
    fn gossip(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        let local_ms = entry.local_ms(now_ms);
        let division = entry.gossip.limit_division(&entry.report, local_ms);
        entry.dispatcher.set_limit_division(division, local_ms);
        let message = Arc::new(entry.message(local_ms));
        let targets = entry.gossip.start_round(local_ms);
        let is_cut = entry.cut_until_ms > now_ms;
        for target in targets {
            let delay_ms = self.rng.random_range(DATAGRAM_MS);
            let is_lost = self.rng.random::<f64>() < LOST_SHARE;
            let number = target.strip_prefix(ENTRY_PREFIX);
            let number = number.and_then(|number| number.parse::<usize>().ok());
            let Some(other) = number.and_then(|number| self.entries.get_mut(number)) else {
                continue;
            };
            let is_down = other.started_ms > now_ms;
            if !is_cut && !is_lost && !is_down && other.cut_until_ms <= now_ms {
                other
                    .inbox
                    .push_back((now_ms + delay_ms, Arc::clone(&message)));
            }
        }
    }

    fn call(&mut self, entry: usize) {
        let now_ms = self.entries[entry].local_ms(self.now_ms);
        self.next_call += 1;
        self.new_calls_ms.push(self.now_ms);
        let query = DispatchQuery::builder()
            .call(self.next_call)
            .service(SERVICE.to_owned())
            .urgency(5)
            .is_stream(false)
            .on_time_until_ms(now_ms + 300)
            .useful_until_ms(now_ms + 1_400)
            .build();
        let dispatcher = &mut self.entries[entry].dispatcher;
        if let Some(decision) = dispatcher.request_endpoint(query, now_ms) {
            self.apply(entry, vec![(self.next_call, decision)]);
        }
    }

    fn end_calls(&mut self, entry: usize) {
        let now_ms = self.now_ms;
        let local_ms = self.entries[entry].local_ms(now_ms);
        let running = std::mem::take(&mut self.entries[entry].running);
        let (ended, running) = running.into_iter().partition(|call| call.ends_ms <= now_ms);
        self.entries[entry].running = running;
        let ended: Vec<RunningCall> = ended;
        for call in ended {
            let limit = self.limits[call.endpoint];
            let named = limit.map_or(NamedLimit::None, NamedLimit::CallsPerS);
            let entry_state = &mut self.entries[entry];
            if limit.is_some() {
                entry_state.told_ms.entry(call.endpoint).or_insert(now_ms);
            }
            let dispatcher = &mut entry_state.dispatcher;
            dispatcher.observe_limit(call.number, &named, "7f", local_ms);
            if let Some(length_ms) = self.asked_ms[call.endpoint] {
                let retry_after = RetryAfter::Ms(length_ms);
                dispatcher.observe_retry_after(call.number, &retry_after, "7f", local_ms);
                self.requests_for_time[call.endpoint].push(AskedEntry {
                    entry,
                    at_ms: now_ms,
                    length_ms,
                });
            }
            let result = if self.asked_ms[call.endpoint].is_some() {
                SendResult::Full
            } else if self.is_failing {
                SendResult::Failed
            } else {
                SendResult::Answered
            };
            let decisions = dispatcher.end(call.number, result, local_ms);
            if self.is_failing {
                self.retry(entry);
            }
            self.apply(entry, decisions);
        }
    }

    /// Retries a call as often as the budget of its entry and its attempts allow.
    fn retry(&mut self, entry: usize) {
        let local_ms = self.entries[entry].local_ms(self.now_ms);
        let dispatcher = &mut self.entries[entry].dispatcher;
        let is_allowed = |_: &usize| dispatcher.try_retry(SERVICE, local_ms);
        let allowed = (0..MAX_RETRIES).take_while(is_allowed).count();
        let times = std::iter::repeat_n(self.now_ms, allowed);
        self.retries_ms.extend(times);
    }

    fn apply(&mut self, entry: usize, decisions: Vec<(u64, DispatchDecision)>) {
        for (number, decision) in decisions {
            let DispatchDecision::Send(record) = decision else {
                self.refused += 1;
                continue;
            };
            let same = |other: &Arc<EndpointRecord>| other.id == record.id;
            let endpoint = self.records.iter().position(same).unwrap_or_default();
            let is_counted = self.entries[entry].is_counted(endpoint, self.now_ms);
            self.arrivals[endpoint].push(Arrival {
                at_ms: self.now_ms,
                entry,
                is_counted,
            });
            self.entries[entry].running.push(RunningCall {
                number,
                endpoint,
                ends_ms: self.now_ms + ANSWER_MS,
            });
        }
    }
}

impl Entry {
    /// Returns the time on the clock of the process.
    fn local_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }

    /// Returns whether the bound counts a call of this entry to an endpoint.
    fn is_counted(&self, endpoint: usize, now_ms: u64) -> bool {
        let now = Duration::from_millis(now_ms);
        let is_past = |since_ms: u64, wait: Duration| Duration::from_millis(since_ms) + wait <= now;
        let told_ms = self.told_ms.get(&endpoint);
        let is_told = told_ms.is_some_and(|told_ms| is_past(*told_ms, TOLD_TIME));
        // A fault of the entry excuses its calls until it is in contact again.
        let fault_until_ms = self.fault_until_ms;
        is_told && fault_until_ms.is_none_or(|until_ms| is_past(until_ms, CONTACT))
    }

    /// Returns the report of a round.
    fn message(&mut self, local_ms: u64) -> GossipMessage {
        let demand = self.dispatcher.report_demand(local_ms);
        let demand = demand.into_iter().map(|(service, new_calls)| GossipDemand {
            service: short_hash(&service),
            new_calls_per_10_s: Some(new_calls),
            ..GossipDemand::default()
        });
        self.report.sequence += 1;
        self.report.limits = self.dispatcher.limit_reports(MAX_LIMITS, local_ms);
        self.report.demands = demand.collect();
        self.report.limit_turn = self.gossip.limit_turn();
        GossipMessage {
            word: Some(self.report.clone()),
            known_addresses: self.gossip.known_addresses(local_ms),
            paces: Vec::new(),
        }
    }
}

/// Returns the most calls of an entry in a time in which their endpoint wanted none.
fn unwanted_calls(asked: &[AskedEntry], arrivals: &[Arrival], entry: usize) -> usize {
    let asked = asked.iter().filter(|asked| asked.entry == entry);
    let answers: Vec<_> = asked
        .map(|asked| RequestForTime {
            at: Duration::from_millis(asked.at_ms),
            length: Duration::from_millis(asked.length_ms),
        })
        .collect();
    let calls = arrivals.iter().filter(|arrival| arrival.entry == entry);
    let calls: Vec<_> = calls
        .map(|call| Duration::from_millis(call.at_ms))
        .collect();
    rest_bound::most_calls(&answers, &calls)
}

fn entry_address(number: usize) -> String {
    format!("{ENTRY_PREFIX}{number:03}")
}

fn as_f64<T>(count: T) -> f64
where
    u32: TryFrom<T>,
{
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn as_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
