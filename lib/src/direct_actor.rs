//! The actor that runs an entry's [`DirectDispatcher`].

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::DirectDispatcher;
use crate::DispatchDecision;
use crate::DispatchQuery;
use crate::EndpointList;
use crate::EndpointNotice;
use crate::LeavingChange;
use crate::LimitChange;
use crate::LimitDivision;
use crate::LimitStatus;
use crate::NamedLimit;
use crate::PauseChange;
use crate::PauseStatus;
use crate::PeerDemand;
use crate::RouteTable;
use crate::SendResult;
use crate::actor::Actor;
use crate::actor::ActorInput;
use crate::clock::Clock;
use crate::direct_service::DirectService;
use crate::endpoint_limit::BelievedLimit;
use crate::event;
use crate::limit_board::LimitBoard;
use crate::pause_board::PauseBoard;
use crate::protos::control::EndpointLimitReport;

const RING_CAPACITY: usize = 4096;
const LIMITS_PUBLISHED_MS: u64 = 1_000;
const LIMITS_LOGGED_MS: u64 = 5_000;
/// Most limits that are published for metrics, and that are logged each time; those that concern
/// most calls come first.
const MAX_PUBLISHED_LIMITS: usize = 64;
const MAX_LOGGED_LIMITS: usize = 16;
const TICK_MS: u64 = 20;
const TICK: Duration = Duration::from_millis(TICK_MS);

/// A message to the dispatch actor.
pub(crate) enum DirectCommand {
    /// Current state of the other entries, as received by gossip.
    Peers {
        /// Number of other entries that accept new calls.
        peer_count: u32,
        /// In-flight calls of all other entries, by short hash of the service.
        demand_by_service: HashMap<u32, PeerDemand>,
        /// Step times of slow endpoints, in percent of the usual step time, by short hash of their
        /// address.
        slowdowns: HashMap<u32, u32>,
        /// How the entries divide the limits of endpoints.
        division: LimitDivision,
    },
    /// What another entry reports on the limits of endpoints.
    PeerLimits {
        /// Gossip address of the entry.
        address: String,
        reports: Vec<EndpointLimitReport>,
    },
    /// Requests an endpoint for a call.
    RequestEndpoint {
        query: DispatchQuery,
        reply: oneshot::Sender<DispatchReply>,
    },
    /// Requests a retry from the budget of a service.
    Retry {
        service: String,
        reply: oneshot::Sender<RetryReply>,
    },
    /// Requests the time after which a call for a service that is refused now should come again.
    RoomAfter {
        service: String,
        reply: oneshot::Sender<u64>,
    },
    /// Requests a retry and a slot at another endpoint, to move a call away from a silent or slow one,
    /// the last in the query's `exclude`.
    Move {
        query: DispatchQuery,
        /// Dropped when the call is to stay where it is.
        reply: oneshot::Sender<DispatchReply>,
    },
    /// An endpoint has begun to answer a call.
    AnswerStarted { call: u64 },
    /// The answer to a running call says something about the calls that its endpoint takes.
    NoticeObserved {
        call: u64,
        notice: EndpointNotice,
        /// Whether the endpoint may have run the call.
        has_run: bool,
        request_id: String,
    },
    /// A running or queued call has ended.
    End { call: u64, result: SendResult },
    /// Requests this entry's in-flight calls and what it knows of limits, to report them to the other
    /// entries.
    Demand {
        /// Most limits that are reported.
        most_limits: usize,
        reply: oneshot::Sender<LocalDemand>,
    },
}

/// A decision of the dispatcher, with the list of endpoints that it is based on.
#[derive(Debug)]
pub(crate) struct DispatchReply {
    pub(crate) decision: DispatchDecision,
    /// Absent until the first list is received.
    pub(crate) list: Option<Arc<EndpointList>>,
    /// The limit of the endpoint that the call is sent to, if it names one.
    pub(crate) limit: Option<BelievedLimit>,
}

/// The answer to a request for a retry.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RetryReply {
    pub(crate) is_allowed: bool,
    /// Retries that the budget still has; a part of one can't be used yet.
    pub(crate) retries_left: f64,
}

/// In-flight calls of this entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalDemand {
    /// In-flight calls by name of the service.
    pub(crate) by_service: HashMap<String, ServiceDemand>,
    /// What this entry knows of the limits of endpoints.
    pub(crate) limits: Vec<EndpointLimitReport>,
}

/// In-flight calls of this entry for one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceDemand {
    /// Number of calls, running and queued.
    pub(crate) calls: u32,
    /// Running calls by endpoint id.
    pub(crate) by_endpoint: Vec<(String, u32)>,
    /// New calls in 10 s; absent while no endpoint of the service names a limit.
    pub(crate) new_calls_per_10_s: Option<u32>,
}

/// Sum and number of the pauses between stream events since the actor last read them, by service.
#[derive(Debug, Clone, Default)]
pub(crate) struct PauseSamples {
    by_service: Arc<Mutex<HashMap<String, (f64, u32)>>>,
}

impl PauseSamples {
    /// Adds a pause between two events of a stream of `service`.
    pub(crate) fn add(&self, service: &str, pause: Duration) {
        let mut by_service = self.lock();
        let pause_ms = pause.as_secs_f64() * 1e3;
        match by_service.get_mut(service) {
            Some((sum_ms, count)) => {
                *sum_ms += pause_ms;
                *count += 1;
            }
            None => {
                by_service.insert(service.to_owned(), (pause_ms, 1));
            }
        }
    }

    fn take(&self) -> HashMap<String, (f64, u32)> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, (f64, u32)>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Shared state that the actor reads, always in its latest version.
///
/// The actor reads it on each wake-up. A command with an update would be lost when the ring is
/// full, and nothing would repeat it until the next change.
pub(crate) struct DirectInputs {
    /// The list of endpoints; absent until the first one is received.
    pub(crate) lists: watch::Receiver<Option<Arc<EndpointList>>>,
    /// The configuration in force; absent until the first one is read.
    pub(crate) tables: watch::Receiver<Option<Arc<RouteTable>>>,
    pub(crate) pauses: PauseSamples,
}

/// State that the actor publishes for other tasks of the process.
pub(crate) struct DirectOutputs {
    /// Ids of the slow endpoints.
    pub(crate) slow_endpoints: watch::Sender<HashSet<String>>,
    /// Services whose rank groups were down at the last check.
    pub(crate) down_services: watch::Sender<BTreeSet<String>>,
    pub(crate) limits: LimitBoard,
    pub(crate) pauses: PauseBoard,
}

struct State {
    dispatcher: DirectDispatcher,
    inputs: DirectInputs,
    list: Option<Arc<EndpointList>>,
    /// Reply channels of queued calls, by call number.
    replies: HashMap<u64, oneshot::Sender<DispatchReply>>,
    outputs: DirectOutputs,
    /// Time at which the dispatcher is advanced next.
    next_advance_ms: u64,
    /// Times at which the limits of endpoints are published and logged next.
    next_limits_published_ms: u64,
    next_limits_logged_ms: u64,
}

/// Starts the actor.
pub(crate) fn spawn(
    clock: Clock,
    dispatcher: DirectDispatcher,
    inputs: DirectInputs,
    outputs: DirectOutputs,
) -> Actor<DirectCommand> {
    let mut state = State {
        dispatcher,
        inputs,
        list: None,
        replies: HashMap::new(),
        outputs,
        next_advance_ms: 0,
        next_limits_published_ms: 0,
        next_limits_logged_ms: 0,
    };
    Actor::spawn("dispatch", RING_CAPACITY, TICK, move |wake| {
        let now_ms = clock.now_ms();
        state.apply_inputs(now_ms);
        if let ActorInput::Command(command) = wake {
            state.handle(command, now_ms);
        }
        state.advance_if_due(now_ms);
    })
}

impl State {
    /// Applies the inputs that have changed since the last wake-up.
    fn apply_inputs(&mut self, now_ms: u64) {
        for (service, (sum_ms, count)) in self.inputs.pauses.take() {
            let mean_ms = sum_ms / f64::from(count);
            self.dispatcher
                .observe_pauses(&service, mean_ms, count, now_ms);
            self.dispatcher.record_progress(&service, now_ms);
        }
        if let Some(table) = take_changed(&mut self.inputs.tables) {
            self.dispatcher.set_table(&table);
        }
        if let Some(list) = take_changed(&mut self.inputs.lists) {
            let decisions = self.dispatcher.set_endpoints(&list.records, now_ms);
            self.list = Some(list);
            self.send_decisions(decisions, now_ms);
        }
    }

    /// Advances the dispatcher once in each tick, also while commands leave no idle time.
    fn advance_if_due(&mut self, now_ms: u64) {
        if now_ms < self.next_advance_ms {
            return;
        }
        self.next_advance_ms = now_ms + TICK_MS;
        let decisions = self.dispatcher.advance(now_ms);
        self.send_decisions(decisions, now_ms);
        self.publish_down_services();
        self.report_limits(now_ms);
    }

    /// Publishes and logs the limits of endpoints at their intervals.
    fn report_limits(&mut self, now_ms: u64) {
        if now_ms < self.next_limits_published_ms {
            return;
        }
        self.next_limits_published_ms = now_ms + LIMITS_PUBLISHED_MS;
        let mut statuses = self.dispatcher.limit_statuses(now_ms);
        statuses.sort_by_key(|status| Reverse(status.calls.concerned()));
        statuses.truncate(MAX_PUBLISHED_LIMITS);
        let is_logged = now_ms >= self.next_limits_logged_ms;
        self.report_pauses(is_logged, now_ms);
        if is_logged {
            self.next_limits_logged_ms = now_ms + LIMITS_LOGGED_MS;
            let logged = statuses.iter().take(MAX_LOGGED_LIMITS);
            logged.for_each(log_limit_status);
        }
        self.outputs.limits.publish(statuses);
    }

    /// Publishes the pauses of endpoints; logs them at their interval.
    fn report_pauses(&self, is_logged: bool, now_ms: u64) {
        let mut statuses = self.dispatcher.pause_statuses(now_ms);
        statuses.sort_by_key(|status| Reverse(status.left_ms));
        statuses.truncate(MAX_PUBLISHED_LIMITS);
        if is_logged {
            let logged = statuses.iter().take(MAX_LOGGED_LIMITS);
            logged.for_each(log_pause_status);
        }
        let leaving = self.dispatcher.leaving_count();
        self.outputs.pauses.publish(statuses, leaving);
    }

    /// Applies and logs that an endpoint says that it leaves. Calls that wait for it are decided on at once.
    fn observe_leaving(&mut self, call: u64, request_id: &str, now_ms: u64) {
        let change = self.dispatcher.observe_leaving(call, request_id, now_ms);
        let Some(LeavingChange {
            endpoint,
            service,
            request_id,
        }) = change
        else {
            return;
        };
        event!(
            EndpointSaysLeaving,
            "request_id={request_id} service={service} endpoint={endpoint}"
        );
        let decisions = self.dispatcher.advance(now_ms);
        self.send_decisions(decisions, now_ms);
    }

    /// Applies and logs what an answer says about its endpoint's limit.
    fn observe_limit(&mut self, call: u64, limit: &NamedLimit, request_id: &str, now_ms: u64) {
        if matches!(limit, NamedLimit::Invalid(_)) {
            self.outputs.limits.count_invalid();
        }
        let change = self
            .dispatcher
            .observe_limit(call, limit, request_id, now_ms);
        change.as_ref().map(log_limit_change);
    }

    /// Handles one command. A reply is dropped when its requester no longer waits for it.
    fn handle(&mut self, command: DirectCommand, now_ms: u64) {
        match command {
            DirectCommand::Peers {
                peer_count,
                demand_by_service,
                slowdowns,
                division,
            } => {
                self.dispatcher
                    .set_peer_demand(peer_count, &demand_by_service);
                self.dispatcher.set_limit_division(division, now_ms);
                self.dispatcher.set_slowdowns(&slowdowns);
                self.publish_slow_endpoints();
            }
            DirectCommand::PeerLimits { address, reports } => {
                let changes = self.dispatcher.merge_limits(&address, &reports, now_ms);
                changes.iter().for_each(log_limit_change);
            }
            DirectCommand::RequestEndpoint { query, reply } => self.dispatch(query, reply, now_ms),
            DirectCommand::Retry { service, reply } => {
                let _ = reply.send(RetryReply {
                    is_allowed: self.dispatcher.try_retry(&service, now_ms),
                    retries_left: self.dispatcher.retries_left(&service),
                });
            }
            DirectCommand::RoomAfter { service, reply } => {
                let _ = reply.send(self.dispatcher.room_after_ms(&service, now_ms));
            }
            DirectCommand::Move { query, reply } => {
                if let Some(endpoint) = self.dispatcher.move_call(&query, now_ms) {
                    let decision = DispatchDecision::Send(endpoint);
                    let _ = reply.send(self.reply_with_list(decision, now_ms));
                }
            }
            DirectCommand::AnswerStarted { call } => {
                let decisions = self.dispatcher.record_answer_start(call, now_ms);
                self.send_decisions(decisions, now_ms);
            }
            DirectCommand::NoticeObserved {
                call,
                notice,
                has_run,
                request_id,
            } => {
                if has_run || notice.limit != NamedLimit::None {
                    self.observe_limit(call, &notice.limit, &request_id, now_ms);
                }
                let retry_after = &notice.retry_after;
                let dispatcher = &mut self.dispatcher;
                let changes =
                    dispatcher.observe_retry_after(call, retry_after, &request_id, now_ms);
                for change in &changes {
                    self.outputs.pauses.count(change);
                    log_pause_change(change);
                }
                if notice.is_leaving {
                    self.observe_leaving(call, &request_id, now_ms);
                }
            }
            DirectCommand::End { call, result } => {
                self.replies.remove(&call);
                let decisions = self.dispatcher.end(call, result, now_ms);
                self.send_decisions(decisions, now_ms);
            }
            DirectCommand::Demand { most_limits, reply } => {
                let _ = reply.send(self.demand(most_limits, now_ms));
            }
        }
    }

    /// Publishes the ids of the slow endpoints if they have changed.
    fn publish_slow_endpoints(&self) {
        let services = self.dispatcher.services();
        let slow: HashSet<String> = services.flat_map(|(_, s)| s.slow_endpoints()).collect();
        self.outputs.slow_endpoints.send_if_modified(|current| {
            let is_changed = *current != slow;
            if is_changed {
                event!(SlowEndpoints, "endpoints={}", sorted(&slow));
                *current = slow;
            }
            is_changed
        });
    }

    /// Publishes the services whose rank groups are down, and logs those that have gone down or come up.
    fn publish_down_services(&self) {
        let services = self.dispatcher.services();
        let down = services.filter(|(_, service)| service.is_down());
        let down: BTreeSet<String> = down.map(|(name, _)| name.to_owned()).collect();
        self.outputs.down_services.send_if_modified(|before| {
            for name in down.difference(before) {
                event!(GroupStoodStill, "service={name}");
            }
            for name in before.difference(&down) {
                event!(GroupMoved, "service={name}");
            }
            let is_changed = *before != down;
            *before = down;
            is_changed
        });
    }

    /// Requests a decision on a call; the reply is sent at once, or kept while the call is queued.
    fn dispatch(
        &mut self,
        query: DispatchQuery,
        reply: oneshot::Sender<DispatchReply>,
        now_ms: u64,
    ) {
        let call = query.call;
        match self.dispatcher.request_endpoint(query, now_ms) {
            Some(decision) => {
                let _ = reply.send(self.reply_with_list(decision, now_ms));
            }
            None => {
                self.replies.insert(call, reply);
            }
        }
    }

    fn send_decisions(&mut self, decisions: Vec<(u64, DispatchDecision)>, now_ms: u64) {
        for (call, decision) in decisions {
            if let Some(reply) = self.replies.remove(&call) {
                let _ = reply.send(self.reply_with_list(decision, now_ms));
            }
        }
    }

    fn reply_with_list(&self, decision: DispatchDecision, now_ms: u64) -> DispatchReply {
        let limit = match &decision {
            DispatchDecision::Send(record) => self.dispatcher.limit_of(record, now_ms),
            DispatchDecision::Refuse { .. } => None,
        };
        DispatchReply {
            decision,
            list: self.list.clone(),
            limit,
        }
    }

    fn demand(&mut self, most_limits: usize, now_ms: u64) -> LocalDemand {
        let limits = self.dispatcher.limit_reports(most_limits, now_ms);
        let new_calls = self.dispatcher.report_demand(now_ms);
        let services = self.dispatcher.services();
        let demand = |(name, service): (&str, &DirectService)| {
            let owned = |(id, calls): (&str, u32)| (id.to_owned(), calls);
            let demand = ServiceDemand {
                calls: service.demand(),
                by_endpoint: service.own_calls().map(owned).collect(),
                new_calls_per_10_s: new_calls.get(name).copied(),
            };
            (name.to_owned(), demand)
        };
        LocalDemand {
            by_service: services.map(demand).collect(),
            limits,
        }
    }
}

fn log_limit_status(status: &LimitStatus) {
    let LimitStatus {
        endpoint,
        service,
        limit,
        source,
        calls,
    } = status;
    event!(
        LimitInForce,
        "service={service} endpoint={endpoint}{} source=\"{source}\" sent={} elsewhere={} refused={}",
        limit.log_fields(),
        calls.sent,
        calls.elsewhere,
        calls.refused
    );
}

fn log_limit_change(change: &LimitChange) {
    match change {
        LimitChange::Named {
            endpoint,
            calls_per_s,
            source,
        } => event!(
            LimitNamed,
            "endpoint={endpoint} limit_per_s={calls_per_s} source=\"{source}\""
        ),
        LimitChange::Lifted { endpoint, source } => {
            event!(LimitLifted, "endpoint={endpoint} source=\"{source}\"");
        }
        LimitChange::Invalid {
            endpoint,
            text,
            source,
        } => event!(
            LimitInvalid,
            "endpoint={endpoint} text={text:?} source=\"{source}\""
        ),
    }
}

fn log_pause_change(change: &PauseChange) {
    match change {
        PauseChange::Asked {
            endpoint,
            length_ms,
            request_id,
        } => event!(
            PauseAsked,
            "request_id={request_id} endpoint={endpoint} pause_ms={length_ms}"
        ),
        PauseChange::Invalid {
            endpoint,
            text,
            request_id,
        } => event!(
            PauseInvalid,
            "request_id={request_id} endpoint={endpoint} text={text:?}"
        ),
    }
}

fn log_pause_status(status: &PauseStatus) {
    let PauseStatus {
        endpoint,
        service,
        age_ms,
        left_ms,
        request_id,
    } = status;
    event!(
        PauseInForce,
        "service={service} endpoint={endpoint} pause_age_ms={age_ms} pause_left_ms={left_ms} \
         source=\"request {request_id}\""
    );
}

/// Returns the value of an input if it has changed since it was last read.
fn take_changed<T: Clone>(input: &mut watch::Receiver<Option<T>>) -> Option<T> {
    // The sender lives as long as the entry, so it outlives every command to the actor.
    if !input.has_changed().unwrap_or(false) {
        return None;
    }
    input.borrow_and_update().clone()
}

/// Returns the names in alphabetical order, separated by commas.
fn sorted(names: &HashSet<String>) -> String {
    let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
    let names: Vec<&str> = names.into_iter().collect();
    names.join(",")
}
