//! The platform: configuration service, VM list and weight store.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use http::Uri;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout_at;
use volo_http::response::Response;
use volo_http::server::extract::Query;
use volo_http::server::route::Router;
use volo_http::server::route::get;
use volo_http::server::route::put;

use crate::call_meter::CallMeter;
use crate::config_store::ConfigStore;
use crate::config_watch::ConfigWatch;
use crate::http_answer::ok_json;
use crate::http_answer::read_json;
use crate::http_server;
use crate::platform_faults::PlatformFaults;
use crate::platform_faults::ServiceFault;
use crate::platform_options::PlatformOptions;
use crate::refusal::Refusal;
use crate::standin_error::StandinError;
use crate::vm_list::VmList;
use crate::vm_list::VmListDocument;
use crate::weight_store::WeightStore;

const ADMIN_CONFIG_PREFIX: &str = "/admin/config/";
const MAX_VALUE_BYTES: usize = 1 << 20;

/// State of the platform.
#[derive(Debug)]
struct Platform {
    state: Mutex<PlatformState>,
    changed: Notify,
    weights: Arc<WeightStore>,
}

#[derive(Debug)]
struct PlatformState {
    config: ConfigStore,
    /// State before the latest publication.
    previous_config: ConfigStore,
    stale_config: Option<ConfigStore>,
    config_fault: ServiceFault,
    vm_list: VmList,
    stale_vm_list: Option<VmListDocument>,
    vm_list_fault: ServiceFault,
    slow: Duration,
    meter: CallMeter,
}

/// Serves the platform until the process is told to stop.
pub(crate) async fn serve(options: PlatformOptions) -> Result<(), StandinError> {
    let platform = Arc::new(Platform::new(&options));
    http_server::serve(options.listen, router(&platform)).await
}

fn router(platform: &Arc<Platform>) -> Router {
    let for_values = Arc::clone(platform);
    let for_watch = Arc::clone(platform);
    let for_vms = Arc::clone(platform);
    let for_weights = Arc::clone(platform);
    let for_put_config = Arc::clone(platform);
    let for_put_vms = Arc::clone(platform);
    let for_faults = Arc::clone(platform);
    let for_calls = Arc::clone(platform);
    Router::new()
        .route(
            "/config/values",
            get(async move || for_values.config_values().await),
        )
        .route(
            "/config/watch",
            get(async move |Query(watch): Query<ConfigWatch>| for_watch.watch(watch).await),
        )
        .route(
            "/weights/{expert}",
            get(async move |uri: Uri| for_weights.weights.read(&uri)),
        )
        .route("/vms", get(async move || for_vms.vms().await))
        .route(
            "/admin/config/{*key}",
            put(async move |uri: Uri, body: Bytes| for_put_config.put_config(&uri, &body)),
        )
        .route(
            "/admin/vms",
            put(async move |body: Bytes| for_put_vms.put_vms(&body)),
        )
        .route(
            "/admin/faults",
            put(async move |body: Bytes| for_faults.put_faults(&body)),
        )
        .route("/admin/calls", get(async move || for_calls.calls()))
}

impl Platform {
    fn new(options: &PlatformOptions) -> Self {
        let state = PlatformState {
            config: ConfigStore::default(),
            previous_config: ConfigStore::default(),
            stale_config: None,
            config_fault: ServiceFault::None,
            vm_list: VmList::new(options.vm_list_lag),
            stale_vm_list: None,
            vm_list_fault: ServiceFault::None,
            slow: Duration::ZERO,
            meter: CallMeter::new(options.call_limit_per_s, Instant::now()),
        };
        Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            weights: Arc::new(WeightStore::new(
                options.weight_bytes_per_s,
                options.weight_bytes,
            )),
        }
    }

    async fn config_values(&self) -> Result<Response, Refusal> {
        self.lock().meter.counts.config_values += 1;
        self.enter_config().await?;
        Ok(ok_json(&self.lock().visible_config().changed_after(0)))
    }

    async fn watch(&self, watch: ConfigWatch) -> Result<Response, Refusal> {
        self.lock().meter.counts.config_watches += 1;
        self.enter_config().await?;
        let until = tokio::time::Instant::now() + Duration::from_millis(watch.wait_ms);
        loop {
            // Registered before the look at the store, so that no change falls between the two.
            let changed = self.changed.notified();
            let snapshot = self.lock().visible_config().changed_after(watch.after);
            if snapshot.revision > watch.after || timeout_at(until, changed).await.is_err() {
                return Ok(ok_json(&snapshot));
            }
        }
    }

    /// Applies the call limit and the faults of the configuration service.
    async fn enter_config(&self) -> Result<(), Refusal> {
        let (admitted, fault, slow) = {
            let mut state = self.lock();
            let admitted = state.meter.admit(Instant::now());
            (admitted, state.config_fault, state.slow)
        };
        if !admitted {
            let reason = "the call limit of the configuration service is exceeded";
            return Err(Refusal::new(StatusCode::TOO_MANY_REQUESTS, reason));
        }
        apply_fault(fault, slow).await
    }

    async fn vms(&self) -> Result<Response, Refusal> {
        let (fault, slow) = {
            let mut state = self.lock();
            state.meter.counts.vm_list += 1;
            (state.vm_list_fault, state.slow)
        };
        apply_fault(fault, slow).await?;
        let mut state = self.lock();
        let answer = match &state.stale_vm_list {
            Some(snapshot) => ok_json(snapshot),
            None => ok_json(state.vm_list.read(Instant::now())),
        };
        Ok(answer)
    }

    fn put_config(&self, uri: &Uri, body: &Bytes) -> Result<Response, Refusal> {
        if body.len() > MAX_VALUE_BYTES {
            let reason = "the value exceeds 1 MB";
            return Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, reason));
        }
        let Ok(text) = str::from_utf8(body) else {
            let reason = "the value is not UTF-8";
            return Err(Refusal::new(StatusCode::BAD_REQUEST, reason));
        };
        let key = uri.path().strip_prefix(ADMIN_CONFIG_PREFIX);
        let revision = {
            let mut state = self.lock();
            state.previous_config = state.config.clone();
            state.config.put(key.unwrap_or_default(), text)
        };
        self.changed.notify_waiters();
        Ok(ok_json(&json!({ "revision": revision })))
    }

    fn put_vms(&self, body: &Bytes) -> Result<Response, Refusal> {
        let list = read_json(body)?;
        self.lock().vm_list.put(list, Instant::now());
        Ok(ok_json(&json!({})))
    }

    fn put_faults(&self, body: &Bytes) -> Result<Response, Refusal> {
        let faults = read_json(body)?;
        self.lock().set_faults(faults);
        self.changed.notify_waiters();
        Ok(ok_json(&json!({})))
    }

    fn calls(&self) -> Response {
        ok_json(&self.lock().meter.counts)
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl PlatformState {
    fn visible_config(&self) -> &ConfigStore {
        self.stale_config.as_ref().unwrap_or(&self.config)
    }

    fn set_faults(&mut self, faults: PlatformFaults) {
        if let Some(slow_ms) = faults.slow_ms {
            self.slow = Duration::from_millis(slow_ms);
        }
        if let Some(lag_ms) = faults.vm_list_lag_ms {
            self.vm_list.lag = Duration::from_millis(lag_ms);
        }
        if let Some(fault) = faults.config {
            self.config_fault = fault;
            self.stale_config = match fault {
                ServiceFault::Stale => Some(self.config.clone()),
                ServiceFault::Previous => Some(self.previous_config.clone()),
                ServiceFault::None | ServiceFault::Down | ServiceFault::Slow => None,
            };
        }
        if let Some(fault) = faults.vm_list {
            self.vm_list_fault = fault;
            let shown = self.vm_list.read(Instant::now()).clone();
            self.stale_vm_list = (fault == ServiceFault::Stale).then_some(shown);
        }
    }
}

async fn apply_fault(fault: ServiceFault, slow: Duration) -> Result<(), Refusal> {
    match fault {
        ServiceFault::None | ServiceFault::Stale | ServiceFault::Previous => Ok(()),
        ServiceFault::Down => Err(Refusal::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "the service is down",
        )),
        ServiceFault::Slow => {
            sleep(slow).await;
            Ok(())
        }
    }
}
