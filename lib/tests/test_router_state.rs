//! Stateful fuzzing of the router against an oracle that computes every result from the full
//! history.

use pomeloramp_lib::EndpointFlags;
use pomeloramp_lib::EndpointId;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RouteChoice;
use pomeloramp_lib::RouteRequest;
use pomeloramp_lib::Router;
use pomeloramp_lib::RouterSettings;
use pomeloramp_lib::SendTicket;
use pomeloramp_lib::protos::control::LoadReport;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LOCAL_ZONE: &str = "heredia";
const REMOTE_ZONE: &str = "alajuela";
const REPORT_LAG_MS: u64 = 200;
const PREFILL_TOKENS_PER_S: u64 = 10_000;
const CAPACITY: u64 = 4;
const ENTRY_COUNT: u64 = 3;
const DEFAULT_REQUEST_US: u64 = 1_000_000;

/// All events at one endpoint.
#[derive(Debug, Clone, Default)]
struct History {
    is_removed: bool,
    flags: EndpointFlags,
    report: Option<ReportEvent>,
    sends: Vec<SendEvent>,
}

#[derive(Debug, Clone, Copy)]
struct ReportEvent {
    running_requests: u32,
    queued_tokens: u64,
    arrived_at_ms: u64,
    event: u64,
}

#[derive(Debug, Clone, Copy)]
struct SendEvent {
    tokens: u64,
    sent_at_ms: u64,
    queue_us: u64,
    has_first_token: bool,
    finish_event: Option<u64>,
}

/// Oracle with the histories of all endpoints, in the order in which they were added.
#[derive(Debug, Clone, Default)]
struct Oracle {
    now_ms: u64,
    event: u64,
    endpoints: Vec<History>,
    /// Times for which finished requests occupied a slot.
    occupied_us: Vec<u64>,
}

#[derive(Debug, Clone)]
enum Transition {
    Wait(u64),
    Add(bool),
    Remove(Index),
    Load(Index, u32, u64),
    Flags(Index, EndpointFlags),
    Send(Index, u64),
    FirstToken(Index, Index),
    Finish(Index, Index),
    Choose {
        prompt_tokens: u64,
        time_left_ms: u64,
        urgency: u32,
        exclude: Option<Index>,
    },
}

impl History {
    fn is_counted(&self, send: &SendEvent) -> bool {
        self.report
            .is_some_and(|report| send.sent_at_ms + REPORT_LAG_MS <= report.arrived_at_ms)
    }

    /// Returns the number of requests that the last report counts and that have not finished since.
    fn counted_requests(&self) -> u64 {
        let report_event = self.report.map_or(0, |report| report.event);
        let reported = self.report.map_or(0, |r| u64::from(r.running_requests));
        let is_finished_since = |send: &&SendEvent| {
            self.is_counted(send) && send.finish_event.is_some_and(|event| event > report_event)
        };
        let finished_since = self.sends.iter().filter(is_finished_since).count() as u64;
        reported.saturating_sub(finished_since)
    }

    fn uncounted(&self) -> impl Iterator<Item = &SendEvent> {
        self.sends
            .iter()
            .filter(|send| send.finish_event.is_none() && !self.is_counted(send))
    }

    fn queue_us(&self, mean_us: u64, now_ms: u64) -> u64 {
        let reported_tokens = self.report.map_or(0, |report| report.queued_tokens);
        let own_tokens: u64 = self
            .uncounted()
            .filter(|send| !send.has_first_token)
            .map(|send| send.tokens)
            .sum();
        let occupied = self.counted_requests().min(CAPACITY);
        let assumed_of_others = |own: u64| own * (ENTRY_COUNT - 1) * occupied / CAPACITY;
        let tokens = reported_tokens + own_tokens + assumed_of_others(own_tokens);
        let token_wait_us = tokens * 1_000_000 / PREFILL_TOKENS_PER_S;
        let own_requests = self.uncounted().count() as u64;
        let requests = self.counted_requests() + own_requests + assumed_of_others(own_requests) + 1;
        let slot_wait_us = requests.saturating_sub(CAPACITY) * mean_us / CAPACITY;
        let oldest_wait_us = self
            .sends
            .iter()
            .filter(|send| send.finish_event.is_none() && !send.has_first_token)
            .map(|send| (now_ms - send.sent_at_ms) * 1_000)
            .max()
            .unwrap_or(0);
        token_wait_us.max(slot_wait_us).max(oldest_wait_us)
    }
}

impl Oracle {
    fn mean_us(&self) -> u64 {
        self.occupied_us
            .iter()
            .fold(DEFAULT_REQUEST_US, |mean, sample| {
                mean - mean / 32 + sample / 32
            })
    }

    fn queue_us(&self, endpoint: usize) -> u64 {
        self.endpoints[endpoint].queue_us(self.mean_us(), self.now_ms)
    }

    fn answer_us(&self, endpoint: usize, request: &RouteRequest) -> u64 {
        let urgency = u64::from(request.urgency);
        let queue_percent = (150 * (9 - urgency) + 50 * urgency) / 9;
        let prefill_us = request.prompt_tokens * 1_000_000 / PREFILL_TOKENS_PER_S;
        self.queue_us(endpoint) * queue_percent / 100 + prefill_us
    }

    /// Returns the endpoints that may get the request: open ones, or suspected ones if none is open.
    fn eligible(&self, exclude: Option<EndpointId>) -> Vec<EndpointId> {
        let endpoints_with = |is_wanted: fn(&EndpointFlags) -> bool| -> Vec<EndpointId> {
            (0..)
                .map(EndpointId)
                .zip(&self.endpoints)
                .filter(|(id, endpoint)| {
                    !endpoint.is_removed && is_wanted(&endpoint.flags) && Some(*id) != exclude
                })
                .map(|(id, _)| id)
                .collect()
        };
        let open =
            endpoints_with(|flags| !flags.leaving && !flags.quarantining && !flags.suspected);
        if open.is_empty() {
            return endpoints_with(|flags| !flags.leaving && !flags.quarantining);
        }
        open
    }

    fn pick(&self, index: Index) -> Option<usize> {
        (!self.endpoints.is_empty()).then(|| index.index(self.endpoints.len()))
    }

    fn pick_send(&self, endpoint: Index, send: Index) -> Option<(usize, usize)> {
        let endpoint = self.pick(endpoint)?;
        let sends = &self.endpoints[endpoint].sends;
        (!sends.is_empty()).then(|| (endpoint, send.index(sends.len())))
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        let start = Self {
            now_ms: 1_000,
            ..Self::default()
        };
        Just(start).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let flags = any::<(bool, bool, bool)>().prop_map(|(leaving, suspected, quarantining)| {
            EndpointFlags {
                leaving,
                suspected,
                quarantining,
            }
        });
        let choose = (
            0..20_000_u64,
            0..6_000_u64,
            0..10_u32,
            any::<Option<Index>>(),
        );
        prop_oneof![
            2 => (1..400_u64).prop_map(Transition::Wait),
            1 => any::<bool>().prop_map(Transition::Add),
            1 => any::<Index>().prop_map(Transition::Remove),
            3 => (any::<Index>(), 0..8_u32, 0..20_000_u64)
                .prop_map(|(index, running, tokens)| Transition::Load(index, running, tokens)),
            1 => (any::<Index>(), flags).prop_map(|(index, flags)| Transition::Flags(index, flags)),
            4 => (any::<Index>(), 0..9_000_u64)
                .prop_map(|(index, tokens)| Transition::Send(index, tokens)),
            2 => any::<(Index, Index)>().prop_map(|(index, send)| Transition::FirstToken(index, send)),
            2 => any::<(Index, Index)>().prop_map(|(index, send)| Transition::Finish(index, send)),
            4 => choose.prop_map(|(prompt_tokens, time_left_ms, urgency, exclude)| {
                Transition::Choose { prompt_tokens, time_left_ms, urgency, exclude }
            }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        state.event += 1;
        let event = state.event;
        let now_ms = state.now_ms;
        match transition {
            Transition::Wait(wait_ms) => state.now_ms += wait_ms,
            Transition::Add(_) => state.endpoints.push(History::default()),
            Transition::Remove(index) => {
                if let Some(endpoint) = state.pick(*index) {
                    state.endpoints[endpoint].is_removed = true;
                }
            }
            Transition::Load(index, running_requests, queued_tokens) => {
                if let Some(endpoint) = state.pick(*index) {
                    state.endpoints[endpoint].report = Some(ReportEvent {
                        running_requests: *running_requests,
                        queued_tokens: *queued_tokens,
                        arrived_at_ms: now_ms,
                        event,
                    });
                }
            }
            Transition::Flags(index, flags) => {
                if let Some(endpoint) = state.pick(*index) {
                    state.endpoints[endpoint].flags = *flags;
                }
            }
            Transition::Send(index, tokens) => {
                if let Some(endpoint) = state.pick(*index) {
                    let queue_us = state.queue_us(endpoint);
                    state.endpoints[endpoint].sends.push(SendEvent {
                        tokens: *tokens,
                        sent_at_ms: now_ms,
                        queue_us,
                        has_first_token: false,
                        finish_event: None,
                    });
                }
            }
            Transition::FirstToken(index, send) => {
                if let Some((endpoint, send)) = state.pick_send(*index, *send) {
                    state.endpoints[endpoint].sends[send].has_first_token = true;
                }
            }
            Transition::Finish(index, send) => {
                if let Some((endpoint, send)) = state.pick_send(*index, *send) {
                    let history = &mut state.endpoints[endpoint];
                    let is_removed = history.is_removed;
                    let send = &mut history.sends[send];
                    if send.finish_event.is_none() {
                        send.finish_event = Some(event);
                        let duration_us = (now_ms - send.sent_at_ms) * 1_000;
                        let occupied_us = duration_us.saturating_sub(send.queue_us);
                        if send.has_first_token && !is_removed {
                            state.occupied_us.push(occupied_us.max(duration_us / 4));
                        }
                    }
                }
            }
            Transition::Choose { .. } => {}
        }
        state
    }
}

/// Router with the tickets of all sends, in the order of the oracle.
struct RouterUnderTest {
    router: Router,
    tickets: Vec<Vec<SendTicket>>,
}

impl RouterUnderTest {
    fn check_choice(&mut self, oracle: &Oracle, request: &RouteRequest) {
        let choice = self.router.choose(request, oracle.now_ms);
        let eligible = oracle.eligible(request.exclude.first().copied());
        let is_in_time = |id: &EndpointId| {
            oracle.answer_us(id.0 as usize, request) <= request.time_left_ms * 1_000
        };
        match choice {
            RouteChoice::Send(id) => {
                assert!(eligible.contains(&id), "{id:?} is not eligible");
                assert!(is_in_time(&id), "{id:?} misses the deadline");
            }
            RouteChoice::Refuse {
                code,
                retry_after_ms,
            } => {
                assert!((200..=30_000).contains(&retry_after_ms));
                assert!(
                    !eligible.iter().any(is_in_time),
                    "refused although an endpoint is eligible and in time"
                );
                assert_eq!(code == RefusalCode::NoEndpoint, eligible.is_empty());
            }
        }
    }
}

impl StateMachineTest for RouterUnderTest {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        let settings = RouterSettings::builder()
            .report_lag_ms(REPORT_LAG_MS)
            .default_prefill_tokens_per_s(PREFILL_TOKENS_PER_S)
            .default_capacity(4)
            .build();
        let mut router = Router::new(settings, LOCAL_ZONE, SmallRng::seed_from_u64(1));
        router.set_other_entries(2);
        Self {
            router,
            tickets: Vec::new(),
        }
    }

    fn apply(mut state: Self, oracle: &Oracle, transition: Transition) -> Self {
        let now_ms = oracle.now_ms;
        let endpoint = |index: &Index| {
            oracle
                .pick(*index)
                .map(|i| EndpointId(u32::try_from(i).unwrap()))
        };
        match transition {
            Transition::Wait(_) => {}
            Transition::Add(is_local) => {
                let zone = if is_local { LOCAL_ZONE } else { REMOTE_ZONE };
                let id = state
                    .router
                    .add_endpoint(&state.tickets.len().to_string(), zone);
                assert_eq!(id.0 as usize, state.tickets.len());
                state.tickets.push(Vec::new());
            }
            Transition::Remove(index) => {
                if let Some(id) = endpoint(&index) {
                    state.router.remove_endpoint(id);
                }
            }
            Transition::Load(index, running_requests, queued_tokens) => {
                let report = LoadReport {
                    running_requests,
                    queued_tokens,
                    ..LoadReport::default()
                };
                if let Some(id) = endpoint(&index) {
                    state.router.update_load(id, &report, now_ms);
                }
            }
            Transition::Flags(index, flags) => {
                if let Some(id) = endpoint(&index) {
                    state.router.set_flags(id, flags);
                }
            }
            Transition::Send(index, tokens) => {
                if let Some(id) = endpoint(&index) {
                    let ticket = state.router.mark_sent(id, tokens, now_ms);
                    state.tickets[id.0 as usize].push(ticket);
                }
            }
            Transition::FirstToken(index, send) => {
                if let Some((endpoint, send)) = oracle.pick_send(index, send) {
                    state.router.mark_first_token(state.tickets[endpoint][send]);
                }
            }
            Transition::Finish(index, send) => {
                if let Some((endpoint, send)) = oracle.pick_send(index, send) {
                    state
                        .router
                        .mark_finished(state.tickets[endpoint][send], now_ms);
                }
            }
            Transition::Choose {
                prompt_tokens,
                time_left_ms,
                urgency,
                exclude,
            } => {
                let exclude: Vec<EndpointId> = exclude.iter().filter_map(endpoint).collect();
                let request = RouteRequest::builder()
                    .prompt_tokens(prompt_tokens)
                    .time_left_ms(time_left_ms)
                    .urgency(urgency)
                    .exclude(&exclude)
                    .build();
                state.check_choice(oracle, &request);
            }
        }
        state
    }

    fn check_invariants(state: &Self, oracle: &Oracle) {
        let present = oracle.endpoints.iter().filter(|e| !e.is_removed).count();
        assert_eq!(state.router.endpoint_count(), present);
        for (id, history) in (0..).map(EndpointId).zip(&oracle.endpoints) {
            let in_flight = history.sends.iter().filter(|s| s.finish_event.is_none());
            let expected = if history.is_removed {
                0
            } else {
                in_flight.count()
            };
            assert_eq!(state.router.in_flight_requests(id), expected);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn choices_agree_with_the_oracle(sequential 1..120 => RouterUnderTest);
}
