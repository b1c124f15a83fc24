//! Tests of the agent of a rank whose engine leaves orders unanswered and executes them late.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::DirectEngine;
use pomeloramp_lib::EngineOrder;
use pomeloramp_lib::EngineReply;
use pomeloramp_lib::ExpertChoices;
use pomeloramp_lib::ExpertModel;
use pomeloramp_lib::GroupAgent;
use pomeloramp_lib::GroupModel;
use pomeloramp_lib::OrderResult;
use pomeloramp_lib::OrderTerms;
use pomeloramp_lib::RankLocation;
use pomeloramp_lib::protos::control::DecideMapReply;
use pomeloramp_lib::protos::control::DecideMapRequest;
use pomeloramp_lib::protos::control::ExpertMap;
use pomeloramp_lib::protos::control::MapCopy;
use pomeloramp_lib::protos::control::MapRefusal;
use pomeloramp_lib::protos::control::MapStateReply;
use pomeloramp_lib::protos::control::MapStateRequest;
use pomeloramp_lib::protos::control::PlannerBeacon;
use pomeloramp_lib::protos::control::PrepareMapRequest;
use pomeloramp_lib::protos::control::RankDatagram;
use pomeloramp_lib::protos::control::RankOrigin;
use pomeloramp_lib::protos::control::RankRequest;
use pomeloramp_lib::protos::control::rank_datagram::Content;
use pomeloramp_lib::protos::control::rank_reply::Reply;
use pomeloramp_lib::protos::control::rank_request::Request;
use pomeloramp_testutils::LateEngine;
use prost::Message;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The rank whose agent is tested; the test acts as the agent of rank 0.
const RANK: usize = 1;
const RANKS: usize = 2;
const GROUP: &str = "group";
const SLOTS_PER_RANK: u32 = 2;
/// Interval at which the test announces itself as the planner, and looks at what happened.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which an agent does what it is asked for.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Time for which an agent waits for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time in which an agent shows whether it breaks its promise.
const PROMISE_TIME: Duration = Duration::from_millis(1_500);
/// Maps of one round, the one that was planned first with the highest id.
const FORGOTTEN_MAP: u64 = (2 << 32) + 9;
const LOWER_MAP: u64 = (2 << 32) + 1;
const LATER_MAP: u64 = 3 << 32;

/// All orders that are left unanswered, if they are to be executed late.
const ALL: usize = usize::MAX;

/// A kind of order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderKind {
    Copy,
    Arm,
    Disarm,
    Hold,
    Release,
}

impl OrderKind {
    fn of(order: &EngineOrder) -> Self {
        match order {
            EngineOrder::Copy { .. } => Self::Copy,
            EngineOrder::Arm { .. } => Self::Arm,
            EngineOrder::Disarm { .. } => Self::Disarm,
            EngineOrder::Hold { .. } => Self::Hold,
            EngineOrder::ReleaseHold { .. } => Self::Release,
        }
    }
}

/// State of a rank that switches to a map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Copied,
    Promised,
    Armed,
}

/// The engine of the rank, and which orders it leaves unanswered.
struct Engine {
    model: LateEngine,
    step: u64,
    late_kind: OrderKind,
    /// Number of further orders of that kind that are left unanswered.
    late_count: usize,
    /// Whether the first late order is executed as soon as another one is left unanswered.
    executes_first_late: bool,
    /// Whether the rank let the group start a step that it had promised to hold for a map.
    has_broken_promise: bool,
}

impl Engine {
    fn order(&mut self, order: EngineOrder, terms: OrderTerms) -> OrderResult {
        if self.late_count > 0 && self.late_kind == OrderKind::of(&order) {
            self.late_count -= 1;
            self.model.late_orders.push((order, terms));
            if std::mem::take(&mut self.executes_first_late) {
                self.model.execute_late(0, self.step);
            }
            return OrderResult::Unknown;
        }
        let is_armed = self.model.armed.is_some();
        let result = self.model.apply(&order, terms, self.step);
        let is_released = OrderKind::of(&order) == OrderKind::Release;
        if is_released && result == OrderResult::Done && !is_armed {
            self.has_broken_promise = true;
        }
        result
    }

    /// Leaves the next `count` orders of a kind unanswered.
    fn leave_unanswered(&mut self, kind: OrderKind, count: usize) {
        self.late_kind = kind;
        self.late_count = count;
    }

    fn execute_late(&mut self) -> Option<OrderResult> {
        self.model.execute_late(0, self.step)
    }
}

/// An agent beside an engine, and the socket of the other rank's agent.
struct Rank {
    engine: Arc<Mutex<Engine>>,
    address: SocketAddr,
    peer: tokio::net::UdpSocket,
    running: Option<(watch::Sender<bool>, JoinHandle<()>)>,
    next_call: u64,
}

fn answer<T: Send + 'static>(value: T) -> EngineReply<T> {
    Box::pin(async move { Ok(value) })
}

/// Returns an address that no other rank of this process uses.
fn free_address() -> SocketAddr {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    let host = HOSTS.fetch_add(1, Ordering::Relaxed);
    let free = UdpSocket::bind((Ipv4Addr::new(127, 0, 7, host), 0)).unwrap();
    free.local_addr().unwrap()
}

fn group_model() -> GroupModel {
    GroupModel {
        experts: ExpertModel {
            set_count: 1,
            expert_count: 4,
            slots_per_rank: SLOTS_PER_RANK,
            max_new_per_rank: 2,
            expert_mb: 1.0,
            link_mbit_per_s: 1_000.0,
            work_share: 0.5,
        },
        target_pause_ms: 100,
    }
}

impl Rank {
    /// Starts an agent beside an engine that checks fencing tokens or ignores them.
    async fn start(checks_tokens: bool) -> Self {
        let engine = Engine {
            model: LateEngine::new(checks_tokens),
            step: 10,
            late_kind: OrderKind::Copy,
            late_count: 0,
            executes_first_late: false,
            has_broken_promise: false,
        };
        let address = free_address();
        let mut rank = Self {
            engine: Arc::new(Mutex::new(engine)),
            address,
            peer: tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap(),
            running: None,
            next_call: 1,
        };
        rank.start_agent();
        rank
    }

    fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap()
    }

    fn start_agent(&mut self) {
        let engine = self.direct_engine();
        let peer = self.peer.local_addr().unwrap();
        let other_engine = engine.clone();
        let agent = GroupAgent {
            engine,
            peers: Arc::new(move || {
                answer(vec![RankLocation {
                    agent: peer,
                    engine: "127.0.0.1:1".to_owned(),
                }])
            }),
            engine_at: Arc::new(move |_| other_engine.clone()),
            address: self.address,
            endpoint_address: "127.0.0.1:2".to_owned(),
            entries: Vec::new(),
        };
        let (close, closing) = watch::channel(false);
        let task = tokio::spawn(async move { agent.run(closing).await.unwrap() });
        self.running = Some((close, task));
    }

    fn direct_engine(&self) -> DirectEngine {
        let reported = Arc::clone(&self.engine);
        let ordered = Arc::clone(&self.engine);
        DirectEngine {
            report: Arc::new(move || {
                let engine = reported.lock().unwrap();
                answer(engine.model.report(RANK, RANKS, engine.step))
            }),
            choices: Arc::new(|| answer(ExpertChoices { counts: vec![0; 4] })),
            experts: Arc::new(|| answer((0, vec![vec![1, 3]]))),
            order: Arc::new(move |order, terms| {
                let result = ordered.lock().unwrap().order(order, terms);
                Box::pin(async move {
                    if result == OrderResult::Unknown {
                        tokio::time::sleep(ORDER_TIMEOUT).await;
                    }
                    result
                })
            }),
            model: Arc::new(|| answer(Some(group_model()))),
        }
    }

    /// Ends the agent at once, as SIGKILL does, and starts another one.
    async fn restart_agent(&mut self) {
        let (_close, task) = self.running.take().unwrap();
        task.abort();
        let _ = task.await;
        // Requests that wait for a reply keep the socket of the agent open.
        self.address = free_address();
        self.start_agent();
    }

    async fn send(&self, content: Content) {
        let datagram = RankDatagram {
            group: GROUP.to_owned(),
            group_incarnation: 1,
            rank: 0,
            content: Some(content),
        };
        let bytes = datagram.encode_to_vec();
        self.peer.send_to(&bytes, self.address).await.unwrap();
    }

    /// Sends a request again and again until the agent answers it with a reply that `read` accepts.
    async fn ask<T>(&mut self, request: Request, read: impl Fn(Reply) -> Option<T>) -> T {
        let until = tokio::time::Instant::now() + ANSWER_TIME;
        while tokio::time::Instant::now() < until {
            self.next_call += 1;
            let origin = RankOrigin {
                is_run: true,
                nonce: 7,
                call: self.next_call,
            };
            self.send(Content::Planner(PlannerBeacon { known_map_id: 0 }))
                .await;
            self.send(Content::Ask(RankRequest {
                origin: Some(origin),
                request: Some(request.clone()),
            }))
            .await;
            if let Some(reply) = self.reply_to(origin).await.and_then(&read) {
                return reply;
            }
        }
        panic!("the agent did not accept {request:?}");
    }

    /// Returns the reply to a request; `None` if there is none for a while.
    async fn reply_to(&self, origin: RankOrigin) -> Option<Reply> {
        let mut buffer = [0; 4_096];
        let until = tokio::time::Instant::now() + Duration::from_millis(300);
        loop {
            let receiving = tokio::time::timeout_at(until, self.peer.recv_from(&mut buffer));
            let (length, _) = receiving.await.ok()?.unwrap();
            let datagram = RankDatagram::decode(&buffer[..length]).unwrap();
            if let Some(Content::Answer(reply)) = datagram.content
                && reply.origin == Some(origin)
            {
                return reply.reply;
            }
        }
    }

    async fn state(&mut self) -> MapStateReply {
        let request = Request::State(MapStateRequest::default());
        self.ask(request, |reply| match reply {
            Reply::State(state) if state.reason() == MapRefusal::Unspecified => Some(state),
            _ => None,
        })
        .await
    }

    /// Has the agent copy a map until its engine has received the order.
    async fn copy(&self, map_id: u64, is_done: impl Fn(&Engine) -> bool) {
        let until = tokio::time::Instant::now() + ANSWER_TIME;
        while !is_done(&self.engine()) {
            assert_that!(tokio::time::Instant::now(), lt(until), "map {map_id:#x}");
            self.send(Content::Planner(PlannerBeacon { known_map_id: 0 }))
                .await;
            self.send(Content::Copy(MapCopy {
                map_id,
                slots: vec![1, 2, 3, 4],
                forward_to: Vec::new(),
            }))
            .await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn copy_completely(&self, map_id: u64) {
        self.copy(map_id, |engine| engine.model.copied == Some(map_id))
            .await;
    }

    /// Asks for the promise of a copied map, and returns whether the rank promises it.
    async fn prepare(&mut self, map_id: u64, switch_step: u64) -> bool {
        let until = tokio::time::Instant::now() + ANSWER_TIME;
        let mut state = self.state().await;
        while state.switch_step != 0 {
            // The agent has not read yet that the engine uses the map before.
            assert_that!(tokio::time::Instant::now(), lt(until), "{state:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
            state = self.state().await;
        }
        let request = Request::Prepare(PrepareMapRequest {
            group_incarnation: 1,
            ballot: map_id,
            map: Some(ExpertMap {
                map_id,
                replicas: Vec::new(),
            }),
            switch_step,
            agent_incarnation: state.agent_incarnation,
        });
        self.ask(request, |reply| match reply {
            Reply::Prepare(reply) if reply.reason() != MapRefusal::Busy => Some(reply.promised),
            _ => None,
        })
        .await
    }

    /// Sends the decision on a map once, without waiting for its effect.
    async fn decide(&mut self, map_id: u64, commit: bool) {
        let request = self.decision(map_id, commit).await;
        let origin = RankOrigin {
            is_run: true,
            nonce: 7,
            call: 0,
        };
        self.send(Content::Ask(RankRequest {
            origin: Some(origin),
            request: Some(request),
        }))
        .await;
    }

    async fn decision(&mut self, map_id: u64, commit: bool) -> Request {
        let state = self.state().await;
        Request::Decide(DecideMapRequest {
            group_incarnation: 1,
            ballot: map_id.max(state.highest_ballot),
            map_id,
            commit,
            agent_incarnation: state.agent_incarnation,
        })
    }

    /// Sends the decision on a map until the agent has carried it out.
    async fn decide_completely(&mut self, map_id: u64, commit: bool) {
        let request = self.decision(map_id, commit).await;
        let accepted = |reply: Reply| match reply {
            Reply::Decide(reply @ DecideMapReply { accepted: true, .. }) => Some(reply),
            _ => None,
        };
        self.ask(request, accepted).await;
    }

    /// Waits until the engine is in a state.
    async fn wait_for(&self, is_reached: impl Fn(&Engine) -> bool) {
        let until = tokio::time::Instant::now() + ANSWER_TIME;
        while !is_reached(&self.engine()) {
            let engine = format!("{:?}", self.engine().model);
            assert_that!(tokio::time::Instant::now(), lt(until), "{engine}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Has the rank switch to a map; executes a late order in the state that `late_at` names.
    async fn switch_to(&mut self, map_id: u64, switch_step: u64, late_at: Option<State>) {
        let execute_late = |rank: &Self, state: State| {
            if late_at == Some(state) {
                let result = rank.engine().execute_late();
                expect_that!(result, some(not(eq(OrderResult::Done))), "{state:?}");
            }
        };
        self.copy_completely(map_id).await;
        execute_late(self, State::Copied);
        assert_that!(self.prepare(map_id, switch_step).await, eq(true));
        execute_late(self, State::Promised);
        self.decide_completely(map_id, true).await;
        execute_late(self, State::Armed);
        expect_that!(self.engine().has_broken_promise, eq(false));
        expect_that!(self.engine().model.held_step, none());
        self.start_step(switch_step);
        expect_that!(self.engine().model.map, eq(map_id));
    }

    fn start_step(&self, step: u64) {
        let mut engine = self.engine();
        engine.step = step;
        engine.model.start_step(step);
    }
}

/// Guards against MAP in review case 12: a rank released a promised step, since a late copy of a map that
/// all agents had forgotten replaced the promised one.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_a_forgotten_map_replaced_the_promised_one() {
    for checks_tokens in [true, false] {
        let mut rank = Rank::start(checks_tokens).await;
        rank.engine().leave_unanswered(OrderKind::Copy, ALL);
        rank.copy(FORGOTTEN_MAP, |engine| !engine.model.late_orders.is_empty())
            .await;
        rank.restart_agent().await;
        rank.engine().late_count = 0;
        rank.copy_completely(LOWER_MAP).await;
        assert_that!(rank.prepare(LOWER_MAP, 12).await, eq(true));
        rank.engine().leave_unanswered(OrderKind::Arm, ALL);
        rank.decide(LOWER_MAP, true).await;
        rank.wait_for(|engine| {
            engine
                .model
                .late_orders
                .iter()
                .any(|(order, _)| OrderKind::of(order) == OrderKind::Arm)
        })
        .await;
        let executed = {
            let mut engine = rank.engine();
            engine.late_count = 0;
            engine.execute_late()
        };
        tokio::time::sleep(PROMISE_TIME).await;
        expect_that!(executed, some(not(eq(OrderResult::Done))));
        expect_that!(rank.engine().has_broken_promise, eq(false));
        rank.decide_completely(LOWER_MAP, true).await;
        expect_that!(rank.engine().model.armed, some(eq((LOWER_MAP, 12))));
        expect_that!(rank.engine().model.held_step, none());
        rank.start_step(12);
        rank.switch_to(LATER_MAP, 14, None).await;
    }
}

/// Guards against MAP in review case 14: a rank took a late hold at an earlier step for the one that it was
/// to promise, and switched to the map at that step, before the others.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_hold_at_another_step_was_taken_for_the_promised_one() {
    for checks_tokens in [true, false] {
        let mut rank = Rank::start(checks_tokens).await;
        rank.copy_completely(LOWER_MAP).await;
        rank.engine().leave_unanswered(OrderKind::Hold, ALL);
        assert_that!(rank.prepare(LOWER_MAP, 12).await, eq(false));
        rank.decide_completely(LOWER_MAP, false).await;
        rank.copy_completely(FORGOTTEN_MAP).await;
        rank.engine().executes_first_late = true;
        let is_promised = rank.prepare(FORGOTTEN_MAP, 14).await;
        let held_step = rank.engine().model.held_step;
        expect_that!(
            is_promised && held_step != Some(14),
            eq(false),
            "{held_step:?}"
        );
        rank.engine().late_count = 0;
        rank.decide_completely(FORGOTTEN_MAP, false).await;
        rank.switch_to(LATER_MAP, 16, None).await;
    }
}

/// Leaves the first order of a kind for one map unanswered, and executes it while the rank switches to a
/// later map.
async fn execute_late_in(kind: OrderKind, checks_tokens: bool, late_at: State) {
    let mut rank = Rank::start(checks_tokens).await;
    rank.engine().leave_unanswered(kind, 1);
    rank.copy_completely(LOWER_MAP).await;
    assert_that!(rank.prepare(LOWER_MAP, 12).await, eq(true));
    if kind == OrderKind::Hold {
        rank.decide_completely(LOWER_MAP, false).await;
        rank.engine().has_broken_promise = false;
    } else {
        rank.decide_completely(LOWER_MAP, true).await;
        rank.start_step(12);
    }
    assert_that!(rank.engine().model.late_orders.len(), eq(1));
    rank.switch_to(FORGOTTEN_MAP, 14, Some(late_at)).await;
    rank.switch_to(LATER_MAP, 16, None).await;
}

/// Guards against any kind of order that is executed in another state than it was decided for.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn late_orders_of_each_kind_changed_a_later_switch() {
    let mut runs = Vec::new();
    for kind in [
        OrderKind::Copy,
        OrderKind::Hold,
        OrderKind::Arm,
        OrderKind::Release,
    ] {
        for checks_tokens in [true, false] {
            for late_at in [State::Copied, State::Promised, State::Armed] {
                runs.push(execute_late_in(kind, checks_tokens, late_at));
            }
        }
    }
    futures::future::join_all(runs).await;
}

/// Guards against a restarted agent that answers for a hold which a late release of the process before it
/// still drops: the others would switch without it.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_release_of_the_process_before_dropped_a_promise_that_was_read_back() {
    for checks_tokens in [true, false] {
        let mut rank = Rank::start(checks_tokens).await;
        rank.copy_completely(LOWER_MAP).await;
        assert_that!(rank.prepare(LOWER_MAP, 12).await, eq(true));
        rank.engine().leave_unanswered(OrderKind::Release, ALL);
        rank.decide(LOWER_MAP, false).await;
        rank.wait_for(|engine| !engine.model.late_orders.is_empty())
            .await;
        rank.restart_agent().await;
        rank.engine().late_count = 0;
        let state = rank.state().await;
        let executed = rank.engine().execute_late();
        if state.prepared_map_id == LOWER_MAP {
            expect_that!(executed, some(not(eq(OrderResult::Done))));
            expect_that!(rank.engine().model.held_step, some(eq(12)));
        }
        // Whatever is decided now, the group gets its next map.
        rank.decide_completely(LOWER_MAP, false).await;
        expect_that!(rank.engine().model.held_step, none());
        expect_that!(rank.engine().model.armed, none());
        rank.engine().has_broken_promise = false;
        rank.switch_to(LATER_MAP, 14, None).await;
    }
}
