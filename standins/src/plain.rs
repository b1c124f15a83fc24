//! A plain service with calls that may not be repeated.

use std::future;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use http_body_util::Collected;
use http_body_util::StreamBody;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use tokio::time::sleep;
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;
use volo_http::server::route::get;
use volo_http::server::route::post;
use volo_http::server::route::put;

use crate::engine_scheduler::EngineScheduler;
use crate::execution_counts::ExecutionCounts;
use crate::http_answer::ok_json;
use crate::http_answer::read_json;
use crate::http_server;
use crate::plain_faults::PlainFault;
use crate::plain_faults::PlainFaults;
use crate::plain_options::PlainOptions;
use crate::refusal::Refusal;
use crate::standin_error::StandinError;

const CALLS_PREFIX: &str = "/calls/";
const KEY_HEADER: &str = "idempotency-key";
const ORGANISATION_HEADER: &str = "pomeloramp-organisation";
const CRASH_EXIT_CODE: i32 = 1;

#[derive(Debug)]
struct Plain {
    options: PlainOptions,
    scheduler: Arc<EngineScheduler>,
    executions: ExecutionCounts,
    faults: Mutex<PlainFaults>,
}

/// Serves the plain service until the process is told to stop.
pub(crate) async fn serve(options: PlainOptions) -> Result<(), StandinError> {
    let plain = Arc::new(Plain {
        options,
        scheduler: Arc::new(EngineScheduler::new(
            options.capacity,
            0,
            options.report_lag,
        )),
        executions: ExecutionCounts::default(),
        faults: Mutex::default(),
    });
    http_server::serve(options.listen, router(&plain)).await
}

fn router(plain: &Arc<Plain>) -> Router {
    let for_calls = Arc::clone(plain);
    let for_load = Arc::clone(plain);
    let for_executions = Arc::clone(plain);
    let for_faults = Arc::clone(plain);
    Router::new()
        .route(
            "/calls/{call}",
            post(async move |request: Request| for_calls.call(request).await),
        )
        .route(
            "/load",
            get(async move || ok_json(&for_load.scheduler.report())),
        )
        .route(
            "/admin/executions",
            get(async move || ok_json(&json!({ "by_key": for_executions.executions.all() }))),
        )
        .route(
            "/admin/faults",
            put(async move |body: Bytes| for_faults.put_faults(&body)),
        )
}

impl Plain {
    async fn call(&self, request: Request) -> Result<Response, Refusal> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await.map(Collected::to_bytes) else {
            let reason = "the body was cut short";
            return Err(Refusal::new(StatusCode::BAD_REQUEST, reason));
        };
        let faults = *self.faults.lock().expect("no holder of the lock panics");
        let _slot = self.scheduler.admit(0, 0).await;
        let execution = self.executions.count(&execution_key(&head.headers));
        sleep(self.options.work).await;
        match faults.mode {
            PlainFault::None => {}
            PlainFault::Hang => future::pending().await,
            PlainFault::DropAnswer => return Ok(broken_answer()),
            PlainFault::Slow => sleep(Duration::from_millis(faults.slow_ms)).await,
            PlainFault::CrashAfterRun => process::exit(CRASH_EXIT_CODE),
        }
        Ok(ok_json(&json!({
            "call": head.uri.path().strip_prefix(CALLS_PREFIX),
            "execution": execution,
            "echo": hex::encode(Sha256::digest(&body)),
        })))
    }

    fn put_faults(&self, body: &Bytes) -> Result<Response, Refusal> {
        let faults = read_json(body)?;
        *self.faults.lock().expect("no holder of the lock panics") = faults;
        Ok(ok_json(&json!({})))
    }
}

fn execution_key(headers: &HeaderMap) -> String {
    let organisation = header_text(headers, ORGANISATION_HEADER);
    let key = header_text(headers, KEY_HEADER);
    format!("{organisation}/{key}")
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Announces a body and breaks the connection before its first byte.
fn broken_answer() -> Response {
    let broken = stream::once(future::ready(Err::<_, BoxError>("dropped".into())));
    Response::builder()
        .header(CONTENT_LENGTH, 1)
        .body(Body::from_body(StreamBody::new(broken)))
        .expect("the parts of the answer are valid")
}
