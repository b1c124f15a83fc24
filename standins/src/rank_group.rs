//! A group of ranks that run in lock-step on an expert map.
//!
//! Each rank has its own paths, below `/ranks/{rank}`. A rank begins a step once every rank has
//! ended the step before, and not while its staged map is undecided at the switch step.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use http::Uri;
use pomeloramp_proc_macros::document;
use serde_json::json;
use tokio::time::sleep;
use volo_http::response::Response;
use volo_http::server::route::Router;
use volo_http::server::route::get;
use volo_http::server::route::post;
use volo_http::server::route::put;

use crate::http_answer::ok_json;
use crate::http_answer::read_json;
use crate::http_server;
use crate::rank_engine::Map;
use crate::rank_engine::RankEngine;
use crate::rank_group_options::RankGroupOptions;
use crate::rank_loads::RankLoads;
use crate::rank_order::FencedOrder;
use crate::rank_order::RankOrder;
use crate::rank_order::RankReport;
use crate::rank_order::Replica;
use crate::refusal::Refusal;
use crate::standin_error::StandinError;
use crate::step_log::StepLog;

/// A rank ends a step in one round of the driver and begins the next in the following one.
const ROUNDS_PER_STEP: u32 = 2;
const FIRST_INCARNATION: u64 = 1;

#[derive(Debug)]
struct RankGroup {
    options: RankGroupOptions,
    loads: RankLoads,
    started: Instant,
    state: Mutex<RankGroupState>,
}

#[derive(Debug)]
struct RankGroupState {
    group_incarnation: u64,
    engines: Vec<RankEngine>,
    log: StepLog,
    /// Kind of the next order of each rank that arrives late.
    delay_next: Vec<Option<String>>,
    late: VecDeque<(usize, FencedOrder)>,
    /// Orders refused for their fencing number.
    refused_orders: u64,
}

/// Names a rank, and the kind of its next order that is to arrive late.
#[document]
struct Delay {
    rank: usize,
    kind: String,
}

/// Names a rank that is replaced.
#[document]
struct Replacement {
    rank: usize,
}

/// Serves the group until the process is told to stop.
pub(crate) async fn serve(options: RankGroupOptions) -> Result<(), StandinError> {
    let listen = options.listen;
    let group = Arc::new(RankGroup::new(options));
    if !group.options.step_interval.is_zero() {
        tokio::spawn(run_steps(Arc::clone(&group)));
    }
    http_server::serve(listen, router(&group)).await
}

fn router(group: &Arc<RankGroup>) -> Router {
    let for_orders = Arc::clone(group);
    let for_map = Arc::clone(group);
    let for_loads = Arc::clone(group);
    let for_weights = Arc::clone(group);
    let for_group = Arc::clone(group);
    let for_steps = Arc::clone(group);
    let for_step = Arc::clone(group);
    let for_replace = Arc::clone(group);
    let for_delay = Arc::clone(group);
    let for_late = Arc::clone(group);
    Router::new()
        .route(
            "/load",
            get(async move || ok_json(&json!({ "running": 0, "queued": 0 }))),
        )
        .route(
            "/ranks/{rank}/orders",
            post(async move |uri: Uri, body: Bytes| for_orders.order(&uri, &body)),
        )
        .route(
            "/ranks/{rank}/map",
            get(async move |uri: Uri| for_map.map(&uri)),
        )
        .route(
            "/ranks/{rank}/loads",
            get(async move |uri: Uri| for_loads.rank_loads(&uri)),
        )
        .route(
            "/ranks/{rank}/weights/{layer}/{expert}",
            put(async move |uri: Uri| for_weights.load_weights(&uri)),
        )
        .route("/admin/group", get(async move || for_group.describe()))
        .route(
            "/admin/steps",
            get(async move || ok_json(&json!({ "steps": for_steps.lock().log.records() }))),
        )
        .route("/admin/step", put(async move || for_step.step()))
        .route(
            "/admin/replace",
            put(async move |body: Bytes| for_replace.replace(&body)),
        )
        .route(
            "/admin/delay",
            put(async move |body: Bytes| for_delay.delay(&body)),
        )
        .route(
            "/admin/late-orders",
            put(async move || for_late.apply_late_orders()),
        )
}

/// Lets the ranks advance in turn, so that no two begin a step at the same instant.
async fn run_steps(group: Arc<RankGroup>) {
    let ranks = group.options.ranks.max(1);
    let pause = group.options.step_interval / (ranks * ROUNDS_PER_STEP);
    loop {
        for rank in 0..ranks as usize {
            group.lock().advance(rank);
            sleep(pause).await;
        }
    }
}

impl RankGroup {
    fn new(options: RankGroupOptions) -> Self {
        let map = Arc::new(initial_map(&options));
        let engines = (0..options.ranks).map(|rank| RankEngine::new(rank, Arc::clone(&map)));
        let state = RankGroupState {
            group_incarnation: FIRST_INCARNATION,
            engines: engines.collect(),
            log: StepLog::default(),
            delay_next: vec![None; options.ranks as usize],
            late: VecDeque::new(),
            refused_orders: 0,
        };
        Self {
            loads: RankLoads::new(
                options.seed,
                options.layers,
                options.experts,
                options.load_period,
            ),
            options,
            started: Instant::now(),
            state: Mutex::new(state),
        }
    }

    fn order(&self, uri: &Uri, body: &Bytes) -> Result<Response, Refusal> {
        let rank = self.rank(uri)?;
        let order: FencedOrder = read_json(body)?;
        let mut state = self.lock();
        if state.takes_late(rank, &order) {
            let reason = "the order was lost on its way";
            return Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, reason));
        }
        let report = state.apply(rank, order, &self.options).ok_or_else(|| {
            let reason = "the order's fencing number is old";
            Refusal::new(StatusCode::CONFLICT, reason)
        })?;
        Ok(ok_json(&report))
    }

    fn map(&self, uri: &Uri) -> Result<Response, Refusal> {
        let rank = self.rank(uri)?;
        let state = self.lock();
        let active = &state.engines[rank].active;
        Ok(ok_json(&json!({
            "group_incarnation": state.group_incarnation,
            "map_id": active.map_id,
            "slots_per_rank": self.options.slots_per_rank,
            "replicas": active.replicas,
        })))
    }

    fn rank_loads(&self, uri: &Uri) -> Result<Response, Refusal> {
        let rank = self.rank(uri)?;
        let active = Arc::clone(&self.lock().engines[rank].active);
        let elapsed = self.started.elapsed();
        let layers = self.loads.of_rank(as_u32(rank), &active.replicas, elapsed);
        Ok(ok_json(&json!({ "layers": layers })))
    }

    fn load_weights(&self, uri: &Uri) -> Result<Response, Refusal> {
        let rank = self.rank(uri)?;
        let mut numbers = uri.path().rsplit('/').map_while(|part| part.parse().ok());
        let (Some(expert), Some(layer)) = (numbers.next(), numbers.next()) else {
            let reason = "the path names no layer and expert";
            return Err(Refusal::new(StatusCode::BAD_REQUEST, reason));
        };
        self.lock().engines[rank].load_weights(layer, expert);
        Ok(ok_json(&json!({})))
    }

    fn describe(&self) -> Response {
        let state = self.lock();
        let reports = state.engines.iter();
        let reports: Vec<RankReport> = reports
            .map(|engine| engine.report(state.group_incarnation))
            .collect();
        ok_json(&json!({
            "group_incarnation": state.group_incarnation,
            "held_steps": state.log.held_steps,
            "forgotten_steps": state.log.forgotten_steps,
            "late_orders": state.late.len(),
            "refused_orders": state.refused_orders,
            "ranks": reports,
        }))
    }

    /// Lets every rank end its step and begin the next, where nothing holds it.
    fn step(&self) -> Response {
        let mut state = self.lock();
        for _ in 0..ROUNDS_PER_STEP {
            for rank in 0..state.engines.len() {
                state.advance(rank);
            }
        }
        ok_json(&json!({}))
    }

    fn replace(&self, body: &Bytes) -> Result<Response, Refusal> {
        let replacement: Replacement = read_json(body)?;
        if replacement.rank >= self.options.ranks as usize {
            return Err(unknown_rank());
        }
        self.lock().form_anew();
        Ok(ok_json(&json!({})))
    }

    fn delay(&self, body: &Bytes) -> Result<Response, Refusal> {
        let delay: Delay = read_json(body)?;
        if delay.rank >= self.options.ranks as usize {
            return Err(unknown_rank());
        }
        self.lock().delay_next[delay.rank] = Some(delay.kind);
        Ok(ok_json(&json!({})))
    }

    fn apply_late_orders(&self) -> Response {
        let mut state = self.lock();
        while let Some((rank, order)) = state.late.pop_front() {
            let _ = state.apply(rank, order, &self.options);
        }
        ok_json(&json!({}))
    }

    /// Returns the rank that a path below `/ranks` names.
    fn rank(&self, uri: &Uri) -> Result<usize, Refusal> {
        let rank = uri.path().split('/').nth(2);
        let rank = rank.and_then(|rank| rank.parse::<usize>().ok());
        rank.filter(|rank| *rank < self.options.ranks as usize)
            .ok_or_else(unknown_rank)
    }

    fn lock(&self) -> MutexGuard<'_, RankGroupState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl RankGroupState {
    /// Ends the rank's running step, and begins the next where the group and the map allow it.
    fn advance(&mut self, rank: usize) {
        if self.engines[rank].is_running {
            self.engines[rank].end_step();
        }
        let step = self.engines[rank].step;
        if self.engines.iter().any(|engine| engine.step < step) {
            return;
        }
        let key = (self.group_incarnation, step);
        if self.engines[rank].is_held() {
            self.log.held(key);
            return;
        }
        let rank_count = self.engines.len();
        let engine = &mut self.engines[rank];
        engine.begin_step();
        self.log.begun(key, rank, rank_count, &engine.active);
    }

    /// Keeps an order back if it is to arrive late.
    fn takes_late(&mut self, rank: usize, order: &FencedOrder) -> bool {
        let is_late = self.delay_next[rank].as_deref() == Some(order.order.kind());
        if is_late {
            self.delay_next[rank] = None;
            self.late.push_back((rank, order.clone()));
        }
        is_late
    }

    /// Carries out an order; `None` when it is refused for its fencing number.
    fn apply(
        &mut self,
        rank: usize,
        order: FencedOrder,
        options: &RankGroupOptions,
    ) -> Option<RankReport> {
        let group_incarnation = self.group_incarnation;
        let engine = &mut self.engines[rank];
        let is_current = order.order == RankOrder::Read || engine.fence(order.fencing);
        if options.check_fencing && !is_current {
            self.refused_orders += 1;
            return None;
        }
        engine.apply(order.order, options.require_weights);
        Some(engine.report(group_incarnation))
    }

    /// Forms the group anew after a rank was replaced; the latest map in use stays in use.
    fn form_anew(&mut self) {
        self.group_incarnation += 1;
        let active = self.engines.iter().map(|engine| &engine.active);
        let latest = active.max_by_key(|map| map.map_id).cloned();
        let Some(latest) = latest else {
            return;
        };
        for (rank, engine) in self.engines.iter_mut().enumerate() {
            *engine = RankEngine::new(as_u32(rank), Arc::clone(&latest));
        }
    }
}

fn unknown_rank() -> Refusal {
    Refusal::new(StatusCode::NOT_FOUND, "the group has no such rank")
}

/// Places each expert on one rank, in turn, as far as there are slots.
fn initial_map(options: &RankGroupOptions) -> Map {
    let ranks = options.ranks.max(1);
    let places = (0..options.layers)
        .flat_map(|layer| (0..options.experts).map(move |expert| (layer, expert)));
    let replicas = places.map(|(layer, expert)| Replica {
        layer,
        expert,
        rank: expert % ranks,
    });
    Map {
        map_id: 0,
        replicas: replicas.collect(),
    }
}

fn as_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
