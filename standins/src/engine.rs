//! A model engine that streams completions.

use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::sleep;
use volo_http::response::Response;
use volo_http::server::extract::Query;
use volo_http::server::route::Router;
use volo_http::server::route::get;
use volo_http::server::route::post;

use crate::cache_event_log::CacheEventLog;
use crate::engine_options::EngineOptions;
use crate::engine_scheduler::EngineScheduler;
use crate::execution_counts::ExecutionCounts;
use crate::http_answer::ok_json;
use crate::http_answer::read_json;
use crate::http_answer::stream_answer;
use crate::http_server;
use crate::order_log::OrderLog;
use crate::prefix_cache::PrefixCache;
use crate::refusal::Refusal;
use crate::standin_error::StandinError;
use crate::token_text::prompt_tokens;
use crate::token_text::token_text;

const CRASH_MARKER: &str = "CRASH";
const CRASH_EXIT_CODE: i32 = 1;
const EVENT_STREAM_TYPE: &str = "text/event-stream";
const END_EVENT: &str = "data: [DONE]\n\n";
const EVENT_QUEUE_LENGTH: usize = 16;
const MICROS_PER_S: u64 = 1_000_000;

/// A request for a completion.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
struct CompletionRequest {
    prompt: String,
    max_tokens: u64,
    /// Tokens that the caller has already; generation goes on after them.
    resume_after_token: u64,
    request_id: String,
    /// A higher number is more urgent.
    priority: u32,
}

impl Default for CompletionRequest {
    fn default() -> Self {
        Self {
            prompt: String::new(),
            max_tokens: 16,
            resume_after_token: 0,
            request_id: String::new(),
            priority: 0,
        }
    }
}

#[derive(Debug)]
struct Engine {
    options: EngineOptions,
    scheduler: Arc<EngineScheduler>,
    executions: ExecutionCounts,
    orders: OrderLog,
    cache: Mutex<PrefixCache>,
    cache_events: Mutex<CacheEventLog>,
}

/// The query of a read of cache events.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct CacheEventQuery {
    /// Events after this sequence are wanted.
    after: u64,
}

/// Serves the engine until the process is told to stop.
pub(crate) async fn serve(options: EngineOptions) -> Result<(), StandinError> {
    let listen = options.listen;
    let engine = Arc::new(Engine::new(options));
    http_server::serve(listen, router(&engine)).await
}

fn router(engine: &Arc<Engine>) -> Router {
    let for_completions = Arc::clone(engine);
    let for_load = Arc::clone(engine);
    let for_executions = Arc::clone(engine);
    let for_cache = Arc::clone(engine);
    let for_orders = Arc::clone(engine);
    let for_order_list = Arc::clone(engine);
    Router::new()
        .route(
            "/v1/completions",
            post(async move |body: Bytes| complete(&for_completions, &body)),
        )
        .route(
            "/load",
            get(async move || ok_json(&for_load.scheduler.report())),
        )
        .route(
            "/orders",
            post(async move |body: Bytes| order(&for_orders, &body)),
        )
        .route(
            "/cache-events",
            get(async move |Query(query): Query<CacheEventQuery>| {
                let events = for_cache
                    .lock_cache_events()
                    .after(query.after, Instant::now());
                ok_json(&json!({ "events": events }))
            }),
        )
        .route(
            "/admin/orders",
            get(async move || ok_json(&json!({ "accepted": for_order_list.orders.accepted() }))),
        )
        .route(
            "/admin/executions",
            get(async move || {
                let executions = &for_executions.executions;
                ok_json(&json!({ "by_request": executions.all(), "order": executions.order() }))
            }),
        )
}

fn complete(engine: &Arc<Engine>, body: &Bytes) -> Result<Response, Refusal> {
    let request = read_json(body)?;
    let (events, receiver) = mpsc::channel(EVENT_QUEUE_LENGTH);
    tokio::spawn(Arc::clone(engine).generate(request, events));
    Ok(stream_answer(EVENT_STREAM_TYPE, receiver))
}

fn order(engine: &Engine, body: &Bytes) -> Result<Response, Refusal> {
    if engine.orders.take(read_json(body)?) {
        Ok(ok_json(&json!({ "accepted": true })))
    } else {
        let reason = "the order's fencing number is old";
        Err(Refusal::new(StatusCode::CONFLICT, reason))
    }
}

impl Engine {
    fn new(options: EngineOptions) -> Self {
        let scheduler = EngineScheduler::new(
            options.capacity,
            options.prefill_tokens_per_s,
            options.report_lag,
        );
        let cache_events =
            CacheEventLog::new(options.cache_event_lag, options.lose_cache_event_every);
        Self {
            cache: Mutex::new(PrefixCache::new(options.cache_blocks)),
            cache_events: Mutex::new(cache_events),
            orders: OrderLog::new(options.check_fencing),
            options,
            scheduler: Arc::new(scheduler),
            executions: ExecutionCounts::default(),
        }
    }

    /// Generates until the end, or until the caller's connection is gone.
    async fn generate(self: Arc<Self>, request: CompletionRequest, events: mpsc::Sender<Bytes>) {
        let gone = events.clone();
        tokio::select! {
            () = self.run(&request, &events) => {}
            () = gone.closed() => {}
        }
    }

    async fn run(&self, request: &CompletionRequest, events: &mpsc::Sender<Bytes>) {
        let tokens = prompt_tokens(request.prompt.len());
        let _slot = self.scheduler.admit(request.priority, tokens).await;
        self.executions.count(&request.request_id);
        if request.prompt.contains(CRASH_MARKER) {
            process::exit(CRASH_EXIT_CODE);
        }
        self.prefill(&request.prompt).await;
        for index in request.resume_after_token..request.max_tokens {
            sleep(self.options.token_interval).await;
            let event = token_event(&request.prompt, index);
            if events.send(event).await.is_err() {
                return;
            }
        }
        let _ = events.send(Bytes::from_static(END_EVENT.as_bytes())).await;
    }

    /// Takes the time for the part of the prompt that is not cached, and caches it.
    async fn prefill(&self, prompt: &str) {
        let cached_bytes = self.lock_cache().cached_bytes(prompt);
        let uncached_tokens = prompt_tokens(prompt.len() - cached_bytes);
        sleep(self.prefill_time(uncached_tokens)).await;
        let changes = self.lock_cache().store(prompt);
        self.lock_cache_events().append(&changes, Instant::now());
    }

    fn lock_cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().expect("no holder of the lock panics")
    }

    fn lock_cache_events(&self) -> MutexGuard<'_, CacheEventLog> {
        self.cache_events
            .lock()
            .expect("no holder of the lock panics")
    }

    fn prefill_time(&self, tokens: u64) -> Duration {
        let micros = tokens.saturating_mul(MICROS_PER_S) / self.options.prefill_tokens_per_s.max(1);
        Duration::from_micros(micros)
    }
}

fn token_event(prompt: &str, index: u64) -> Bytes {
    let data = json!({ "index": index, "text": token_text(prompt, index) });
    Bytes::from(format!("data: {data}\n\n"))
}
