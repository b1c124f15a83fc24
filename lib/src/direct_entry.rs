//! An entry that sends calls to endpoints directly, without an agent in between.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bon::Builder;
use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::Instant;
use volo_http::request::Request;
use volo_http::server::route::Router;

use crate::AnswerTimes;
use crate::CallTimes;
use crate::Clock;
use crate::DaemonError;
use crate::DirectDispatcher;
use crate::DirectProtocol;
use crate::DrainPolicy;
use crate::EndpointFeed;
use crate::Metrics;
use crate::RetryAllowance;
use crate::RouteTable;
use crate::as_ms::as_ms;
use crate::caller_server;
use crate::caller_server::CallerLimits;
use crate::caller_server::CallerShutdown;
use crate::calls_in_flight::CallsInFlight;
use crate::crash_tracker::CrashTracker;
use crate::direct_actor;
use crate::direct_actor::DirectCommand;
use crate::direct_actor::DirectInputs;
use crate::direct_actor::DirectOutputs;
use crate::direct_actor::PauseSamples;
use crate::direct_server;
use crate::direct_state::DirectState;
use crate::drain_policy::KEPT_LIFETIMES;
use crate::drain_report;
use crate::drain_report::MAX_LISTED_CALLS;
use crate::entry_drain::EntryDrain;
use crate::event;
use crate::in_flight::InFlightCounter;
use crate::limit_board::LimitBoard;
use crate::listener::listen;
use crate::pause_board::PauseBoard;
use crate::shutdown;
use crate::shutdown_signal::ShutdownSignal;

/// Interval at which a drain checks for calls in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time from the notice of the signal until connections without a request are closed. Requests
/// that came while the process did not run are read in it.
const MIN_LINGER: Duration = Duration::from_millis(250);
/// Shortest lifetime with which a draining entry is named.
const MIN_ADDRESS_LIFETIME: Duration = Duration::from_millis(200);

/// Settings of an entry that sends calls to endpoints directly.
#[derive(Debug, Clone, Builder)]
pub struct DirectEntrySettings {
    /// Name of the VM.
    pub vm_name: String,
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// IP address and port on which callers connect.
    pub caller_address: String,
    /// IP address and port on which metrics are served; empty for none.
    #[builder(default)]
    pub metrics_address: String,
    /// Retries that all entries together may make.
    pub retry_allowance: RetryAllowance,
    /// Longest time for which a caller may cache the addresses of the entries.
    pub max_address_lifetime_ms: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace_ms: u64,
    /// Most connections of callers that are served at once.
    pub max_connections: usize,
    /// Longest time until a caller's connection delivers a request head, idle time included.
    pub idle_timeout_ms: u64,
    /// Time between two heartbeats of an endpoint to the platform.
    #[builder(default = 1_200)]
    pub endpoint_heartbeat_ms: u64,
}

/// An entry that sends calls to endpoints directly, without an agent in between.
#[derive(Clone)]
pub struct DirectEntry {
    settings: Arc<DirectEntrySettings>,
    state: Arc<DirectState>,
    /// Tells when the process receives the signal to shut down.
    shutdown: ShutdownSignal,
    /// Serialises changes of the configuration.
    table_change: Arc<Mutex<()>>,
    /// Publishes the configuration in force to the dispatcher.
    tables: watch::Sender<Option<Arc<RouteTable>>>,
}

impl DirectEntry {
    /// Starts the actors of an entry that does not serve callers yet.
    ///
    /// Must be called on a tokio runtime.
    #[must_use]
    pub fn start(settings: DirectEntrySettings, protocol: DirectProtocol) -> Self {
        let clock = Clock::start();
        let pauses = PauseSamples::default();
        let (slow_sender, slow_endpoints) = watch::channel(HashSet::new());
        let (down_sender, down_services) = watch::channel(BTreeSet::new());
        let rng = SmallRng::seed_from_u64(rand::random());
        let zone = &settings.availability_zone;
        let dispatcher = DirectDispatcher::new(zone, settings.retry_allowance, rng);
        let endpoints = EndpointFeed::new(clock, settings.endpoint_heartbeat_ms);
        let tables = watch::channel(None).0;
        let inputs = DirectInputs {
            lists: endpoints.lists(),
            tables: tables.subscribe(),
            pauses: pauses.clone(),
        };
        let outputs = DirectOutputs {
            slow_endpoints: slow_sender,
            down_services: down_sender,
            limits: LimitBoard::default(),
            pauses: PauseBoard::default(),
        };
        let limits = outputs.limits.clone();
        let endpoint_pauses = outputs.pauses.clone();
        let dispatcher = direct_actor::spawn(clock, dispatcher, inputs, outputs);
        let metrics = Metrics::new();
        metrics.observe_endpoints(&endpoints);
        metrics.observe_limits(&limits);
        metrics.observe_pauses(&endpoint_pauses);
        let crash_tracker = CrashTracker::new(clock);
        metrics.observe_quarantine(&crash_tracker);
        tokio::spawn(crash_tracker.clone().follow_runs(endpoints.lists()));
        let policy = DrainPolicy::new(Duration::from_millis(settings.grace_ms));
        let drain = Arc::new(EntryDrain::new(policy));
        let in_flight = InFlightCounter::default();
        metrics.observe_drain(&drain, &in_flight);
        let state = DirectState {
            clock,
            endpoints,
            table: ArcSwapOption::empty(),
            dispatcher,
            pauses,
            slow_endpoints,
            down_services,
            crash_tracker,
            protocol,
            metrics,
            in_flight,
            calls: CallsInFlight::default(),
            drain,
            call_times: CallTimes::default(),
            answer_times: AnswerTimes::default(),
            has_serving_peers: AtomicBool::new(false),
            next_call: AtomicU64::new(0),
        };
        Self {
            settings: Arc::new(settings),
            state: Arc::new(state),
            shutdown: shutdown::listen_timed(),
            table_change: Arc::default(),
            tables,
        }
    }

    /// Returns the clock of the process.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.state.clock
    }

    /// Returns the revision of the configuration in force.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.state.table().map(|table| table.revision())
    }

    /// Returns the configuration in force, as it was published.
    pub(crate) fn document(&self) -> Option<Bytes> {
        self.state.table().map(|table| table.document().clone())
    }

    /// Puts a published configuration in force unless the current one has the same or a newer
    /// revision; returns whether it was put in force.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the configuration is invalid; no part of it is used then.
    pub fn set_document(&self, document: Bytes) -> Result<bool, String> {
        let table = (self.state.protocol.read_config)(document);
        let table = table.inspect_err(|reason| event!(ConfigRefused, "{reason}"))?;
        Ok(self.set_table(table))
    }

    /// Puts a configuration in force unless the current one has the same or a newer revision;
    /// returns whether it was put in force.
    fn set_table(&self, table: RouteTable) -> bool {
        let change = self.table_change.lock();
        let _change = change.unwrap_or_else(PoisonError::into_inner);
        let current = self.revision();
        if current.is_some_and(|current| current >= table.revision()) {
            return false;
        }
        event!(ConfigAccepted, "revision={}", table.revision());
        let table = Arc::new(table);
        self.endpoints().set_named_services(table.service_names());
        self.state.table.store(Some(Arc::clone(&table)));
        self.tables.send_replace(Some(table));
        true
    }

    /// Returns the list of endpoints and its sources.
    #[must_use]
    pub fn endpoints(&self) -> &EndpointFeed {
        &self.state.endpoints
    }

    /// Returns whether the entry accepts new calls.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_state = self.revision().is_some() && self.endpoints().list().is_some();
        has_state && !*self.shutdown.draining.borrow()
    }

    /// Returns the lifetime of an answer with addresses of entries that take new work: callers that keep
    /// it for as long as they do still come while an entry that has begun to drain takes all calls.
    pub(crate) fn address_lifetime(&self) -> Duration {
        let longest = Duration::from_millis(self.settings.max_address_lifetime_ms);
        longest.min(self.state.drain.policy().address_lifetime(Duration::ZERO))
    }

    /// Returns the same for an answer with the address of this draining entry; `None` if it is not
    /// draining, or too little of the time is left in which it takes all calls.
    pub(crate) fn draining_address_lifetime(&self) -> Option<Duration> {
        let drain = &self.state.drain;
        let lifetime = drain.policy().address_lifetime(drain.elapsed()?);
        (lifetime >= MIN_ADDRESS_LIFETIME).then_some(lifetime)
    }

    /// Returns a receiver that turns true when the process receives the signal to shut down.
    #[must_use]
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.shutdown.draining.clone()
    }

    /// Serves callers until the process is shut down and the drain has finished.
    ///
    /// # Errors
    ///
    /// Fails when an address is invalid or can't be bound.
    pub async fn serve(&self) -> Result<(), DaemonError> {
        self.state
            .metrics
            .serve(&self.settings.metrics_address)
            .await?;
        let (close, closing) = watch::channel(false);
        let (close_idle, closing_idle) = watch::channel(false);
        let draining = self.shutdown.draining.clone();
        tokio::spawn(self.clone().drain(close_idle, close));
        let state = Arc::clone(&self.state);
        let router = Router::new().fallback(move |request: Request| {
            let state = Arc::clone(&state);
            async move { direct_server::handle(state, request).await }
        });
        let listener = listen("caller_address", &self.settings.caller_address).await?;
        event!(
            EntryStarted,
            "caller_address={}",
            self.settings.caller_address
        );
        let shutdown = CallerShutdown {
            draining,
            closing_idle,
            closing,
        };
        caller_server::serve(listener, router, self.limits(), shutdown).await;
        event!(DrainFinished, "{}", self.state.drain.log_fields());
        Ok(())
    }

    /// Serves an additional interface of the process until the process ends.
    ///
    /// # Errors
    ///
    /// Fails when the address is invalid or can't be bound.
    pub async fn serve_interface(
        &self,
        name: &'static str,
        address: &str,
        router: Router,
    ) -> Result<(), DaemonError> {
        let listener = listen(name, address).await?;
        event!(Listening, "name={name} address={address}");
        let limits = self.limits();
        let (keep_open, closing) = watch::channel(false);
        tokio::spawn(async move {
            let closing = CallerShutdown::immediate(closing);
            caller_server::serve(listener, router, limits, closing).await;
            drop(keep_open);
        });
        Ok(())
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits {
            header_timeout: Duration::from_millis(self.settings.idle_timeout_ms),
            max_connections: self.settings.max_connections,
        }
    }

    /// Returns the tracker of content that crashes endpoints.
    pub(crate) fn crash_tracker(&self) -> &CrashTracker {
        &self.state.crash_tracker
    }

    /// Sends a command to the dispatcher; a command that does not fit into its ring is lost.
    pub(crate) fn submit(&self, command: DirectCommand) {
        if let Err(error) = self.state.dispatcher.submit(command) {
            log::error!("command to the dispatcher lost: {error}");
        }
    }

    /// Records whether other entries take new work.
    pub(crate) fn set_serving_peers(&self, has_serving_peers: bool) {
        let state = &self.state.has_serving_peers;
        state.store(has_serving_peers, Ordering::Relaxed);
    }

    /// Closes idle connections once the addresses that callers keep have expired, and the listener once no
    /// call is in flight, at the latest when the time for the drain is over.
    async fn drain(mut self, close_idle: watch::Sender<bool>, close: watch::Sender<bool>) {
        let Some(signal) = self.shutdown.received().await else {
            return;
        };
        let drain = &self.state.drain;
        drain.start(signal.sent);
        event!(
            DrainStarted,
            "in_flight={} noticed_after_ms={}",
            self.state.in_flight.count(),
            as_ms(signal.noticed - signal.sent)
        );
        // What was taken before may go on until SIGKILL, which comes at the latest counted from here.
        let end = signal.noticed + drain.policy().end();
        let linger_end = signal.sent + self.address_lifetime() * KEPT_LIFETIMES;
        let linger_end = linger_end.max(signal.noticed + MIN_LINGER);
        let mut latest = sleep_until(end.min(linger_end)).await;
        let _ = close_idle.send(true);
        while self.state.in_flight.count() > 0 && Instant::now() < end {
            let late = sleep_until(Instant::now() + DRAIN_CHECK_INTERVAL).await;
            latest = latest.max(late);
        }
        let calls = self.state.calls.latest_first();
        event!(
            DrainClosing,
            "{} in_flight={} listed={} timers_late_ms={}",
            drain.log_fields(),
            self.state.in_flight.count(),
            calls.len().min(MAX_LISTED_CALLS),
            as_ms(latest)
        );
        drain_report::log_calls_in_flight(&self.state, &calls);
        let _ = close.send(true);
    }
}

/// Waits until `time`, and returns by how much later the runtime woke the task.
async fn sleep_until(time: Instant) -> Duration {
    tokio::time::sleep_until(time).await;
    time.elapsed()
}
