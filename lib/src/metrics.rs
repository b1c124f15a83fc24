//! Metrics of a process, scraped by operators in the Prometheus text format.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::Instrument;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::Stream;
use prometheus::Registry;
use prometheus::TextEncoder;
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::server::route::Router;
use volo_http::server::route::get;

use crate::EndpointFeed;
use crate::LimitStatus;
use crate::as_f64::as_f64;
use crate::caller_server;
use crate::caller_server::CallerLimits;
use crate::caller_server::CallerShutdown;
use crate::crash_tracker::CrashTracker;
use crate::daemon_error::DaemonError;
use crate::entry_drain::EntryDrain;
use crate::in_flight::InFlightCounter;
use crate::limit_board::LimitBoard;
use crate::listener::listen;
use crate::listener::print_address;
use crate::pause_board::PauseBoard;
use crate::protos::control::IdleTime;
use crate::taking_clause::TakingClause;

const SCOPE: &str = "pomeloramp";
/// Limit on the series of one instrument; organisations beyond it share one series.
const MAX_SERIES: usize = 4096;
const BUCKETS_MS: [f64; 12] = [
    5.0, 20.0, 50.0, 77.0, 150.0, 300.0, 600.0, 970.0, 2000.0, 5000.0, 15_000.0, 60_000.0,
];
const MAX_SCRAPE_CONNECTIONS: usize = 8;
const SCRAPE_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Histograms and gauges of one process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Creates instruments; they report for as long as the provider exists.
    provider: SdkMeterProvider,
    request_ms: Histogram<f64>,
    first_token_ms: Histogram<f64>,
    queue_ms: Histogram<f64>,
    used_ms: Gauge<u64>,
    lent_ms: Gauge<u64>,
    idle_ms: Gauge<u64>,
    borrowed_ms: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments of a process.
    ///
    /// # Panics
    ///
    /// Panics if the exporter rejects an empty registry, which does not happen.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("an empty registry accepts the exporter");
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(|_: &Instrument| {
                Stream::builder()
                    .with_cardinality_limit(MAX_SERIES)
                    .build()
                    .ok()
            })
            .build();
        let meter = provider.meter(SCOPE);
        let histogram = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_boundaries(BUCKETS_MS.to_vec())
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            registry,
            used_ms: gauge(
                "pomeloramp_used_ms",
                "Capacity time of an organisation's share that it used itself",
            ),
            lent_ms: gauge(
                "pomeloramp_lent_ms",
                "Capacity time of an organisation's share that others used",
            ),
            idle_ms: gauge(
                "pomeloramp_idle_ms",
                "Capacity time of an organisation's share that nobody used",
            ),
            borrowed_ms: gauge(
                "pomeloramp_borrowed_ms",
                "Capacity time of others' shares that an organisation used",
            ),
            request_ms: histogram(
                "pomeloramp_request_ms",
                "Time from a request's arrival to the end of its answer",
            ),
            first_token_ms: histogram(
                "pomeloramp_first_token_ms",
                "Time from a request's arrival to the first token of its answer",
            ),
            queue_ms: histogram(
                "pomeloramp_queue_ms",
                "Time that a call waited for a slot of its endpoint",
            ),
            provider,
        }
    }

    /// Registers gauges for the age and the revision of the list of endpoints.
    pub fn observe_endpoints(&self, endpoints: &EndpointFeed) {
        let meter = self.provider.meter(SCOPE);
        let feed = endpoints.clone();
        meter
            .u64_observable_gauge("pomeloramp_endpoints_age_ms")
            .with_description("Time since the platform last confirmed the list of endpoints")
            .with_callback(move |gauge| gauge.observe(feed.age_ms(), &[]))
            .build();
        let feed = endpoints.clone();
        meter
            .u64_observable_gauge("pomeloramp_endpoints_revision")
            .with_description("Revision of the platform of which the list of endpoints is")
            .with_callback(move |gauge| {
                let revision = feed.list().map_or(0, |list| list.position.revision);
                gauge.observe(revision, &[]);
            })
            .build();
        let feed = endpoints.clone();
        meter
            .u64_observable_gauge("pomeloramp_platform_era")
            .with_description("Number of times that the platform was restored from a copy")
            .with_callback(move |gauge| {
                let era = feed.list().map_or(0, |list| list.position.era);
                gauge.observe(era, &[]);
            })
            .build();
    }

    /// Reports the number of refused contents and prompt parts on each read.
    pub(crate) fn observe_quarantine(&self, tracker: &CrashTracker) {
        let tracker = tracker.clone();
        self.provider
            .meter(SCOPE)
            .u64_observable_gauge("pomeloramp_quarantined_suspects")
            .with_description(
                "Contents and parts of prompts that are refused since they crashed endpoints",
            )
            .with_callback(move |gauge| gauge.observe(tracker.refused_count() as u64, &[]))
            .build();
    }

    /// Reports the drain of an entry: its time, and what became of the calls since the signal.
    pub(crate) fn observe_drain(&self, drain: &Arc<EntryDrain>, in_flight: &InFlightCounter) {
        let meter = self.provider.meter(SCOPE);
        let observed = Arc::clone(drain);
        meter
            .u64_observable_gauge("pomeloramp_draining_ms")
            .with_description("Time since the signal to shut down; zero before it")
            .with_callback(move |gauge| gauge.observe(observed.elapsed_ms(), &[]))
            .build();
        let observed = Arc::clone(drain);
        meter
            .u64_observable_counter("pomeloramp_draining_calls")
            .with_description("Calls since the signal to shut down, by what became of them")
            .with_callback(move |counter| {
                let outcome = |name: &'static str| [KeyValue::new("outcome", name)];
                counter.observe(observed.taken(), &outcome("taken"));
                counter.observe(observed.refused(), &outcome("refused"));
            })
            .build();
        let observed = Arc::clone(drain);
        meter
            .u64_observable_counter("pomeloramp_draining_taken_calls")
            .with_description("Calls taken since the signal to shut down, by the reason")
            .with_callback(move |counter| {
                for clause in [TakingClause::OpenTime, TakingClause::Deadline] {
                    let labels = [KeyValue::new("taken_by", clause.name())];
                    counter.observe(observed.taken_by(clause), &labels);
                }
            })
            .build();
        let in_flight = in_flight.clone();
        meter
            .u64_observable_gauge("pomeloramp_in_flight_calls")
            .with_description("Calls that have not been answered completely yet")
            .with_callback(move |gauge| gauge.observe(in_flight.count() as u64, &[]))
            .build();
    }

    /// Reports the limits that endpoints name, and what was done about them, on each read.
    pub(crate) fn observe_limits(&self, limits: &LimitBoard) {
        let meter = self.provider.meter(SCOPE);
        let gauge =
            |name: &'static str, description: &'static str, read: fn(&LimitStatus) -> f64| {
                let board = limits.clone();
                meter
                    .f64_observable_gauge(name)
                    .with_description(description)
                    .with_callback(move |gauge| {
                        for status in &*board.statuses() {
                            gauge.observe(read(status), &[endpoint_label(status)]);
                        }
                    })
                    .build();
            };
        gauge(
            "pomeloramp_endpoint_limit_per_s",
            "Calls a second that an endpoint takes from all entries together",
            |status| status.limit.calls_per_s,
        );
        gauge(
            "pomeloramp_endpoint_own_limit_per_s",
            "Part of an endpoint's limit that this entry may use",
            |status| status.limit.own_calls_per_s,
        );
        gauge(
            "pomeloramp_endpoint_limit_age_ms",
            "Time since the answer from which an endpoint's limit is known",
            |status| as_f64(status.limit.age_ms),
        );
        let board = limits.clone();
        meter
            .u64_observable_counter("pomeloramp_limited_calls")
            .with_description(
                "Calls that an endpoint's limit has concerned, by what became of them",
            )
            .with_callback(move |counter| {
                for status in &*board.statuses() {
                    let calls = status.calls;
                    for (outcome, count) in [
                        ("sent", calls.sent),
                        ("elsewhere", calls.elsewhere),
                        ("refused", calls.refused),
                    ] {
                        let labels = [endpoint_label(status), KeyValue::new("outcome", outcome)];
                        counter.observe(count, &labels);
                    }
                }
            })
            .build();
        let board = limits.clone();
        meter
            .u64_observable_counter("pomeloramp_invalid_limits")
            .with_description("Answers that named an invalid limit")
            .with_callback(move |counter| counter.observe(board.invalid_count(), &[]))
            .build();
    }

    /// Reports the endpoints that want no calls, for some time or because they leave, on each read.
    pub(crate) fn observe_pauses(&self, pauses: &PauseBoard) {
        let meter = self.provider.meter(SCOPE);
        let board = pauses.clone();
        meter
            .u64_observable_gauge("pomeloramp_endpoint_pause_left_ms")
            .with_description("Time for which an endpoint still wants no calls of this entry")
            .with_callback(move |gauge| {
                for status in &*board.statuses() {
                    let labels = [
                        KeyValue::new("endpoint", status.endpoint.clone()),
                        KeyValue::new("service", status.service.clone()),
                    ];
                    gauge.observe(status.left_ms, &labels);
                }
            })
            .build();
        let board = pauses.clone();
        meter
            .u64_observable_counter("pomeloramp_endpoint_pauses")
            .with_description("Answers that asked for a time without calls")
            .with_callback(move |counter| counter.observe(board.asked_count(), &[]))
            .build();
        let board = pauses.clone();
        meter
            .u64_observable_counter("pomeloramp_invalid_pauses")
            .with_description("Times that an endpoint began to name an invalid time without calls")
            .with_callback(move |counter| counter.observe(board.invalid_count(), &[]))
            .build();
        let board = pauses.clone();
        meter
            .u64_observable_gauge("pomeloramp_leaving_endpoints")
            .with_description("Listed endpoints that have said in an answer that they leave")
            .with_callback(move |gauge| gauge.observe(board.leaving_count(), &[]))
            .build();
    }

    /// Records the duration of a finished request.
    pub fn record_request(&self, organisation: &str, outcome: &str, elapsed: Duration) {
        let labels = [
            KeyValue::new("organisation", organisation.to_owned()),
            KeyValue::new("outcome", outcome.to_owned()),
        ];
        self.request_ms.record(milliseconds(elapsed), &labels);
    }

    /// Records the time to the first token of an answer.
    pub fn record_first_token(&self, service: &str, urgency: u32, elapsed: Duration) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("urgency", i64::from(urgency)),
        ];
        self.first_token_ms.record(milliseconds(elapsed), &labels);
    }

    /// Records how long a call waited for a slot.
    pub fn record_queue_wait(&self, organisation: &str, elapsed: Duration) {
        let labels = [KeyValue::new("organisation", organisation.to_owned())];
        self.queue_ms.record(milliseconds(elapsed), &labels);
    }

    /// Records the capacity times of organisations, in total since the process started.
    pub fn record_idle_times(&self, idle_times: &[IdleTime]) {
        for time in idle_times {
            let labels = [
                KeyValue::new("organisation", time.organisation.clone()),
                KeyValue::new("service", time.service.clone()),
            ];
            self.used_ms.record(time.used_ms, &labels);
            self.lent_ms.record(time.lent_ms, &labels);
            self.idle_ms.record(time.idle_ms, &labels);
            self.borrowed_ms.record(time.borrowed_ms, &labels);
        }
    }

    /// Returns all series in the Prometheus text format.
    #[must_use]
    pub fn scrape(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }

    /// Serves scrapes at `address` until the process ends; does nothing if the address is empty.
    pub(crate) async fn serve(&self, address: &str) -> Result<(), DaemonError> {
        if address.is_empty() {
            return Ok(());
        }
        let listener = listen("metrics_address", address).await?;
        print_address("metrics", &listener);
        let metrics = self.clone();
        let scrape = move || {
            let answer = scrape_response(&metrics);
            async move { answer }
        };
        let router = Router::new().route("/metrics", get(scrape));
        let limits = CallerLimits {
            header_timeout: SCRAPE_HEAD_TIMEOUT,
            max_connections: MAX_SCRAPE_CONNECTIONS,
        };
        let (closing_sender, closing) = watch::channel(false);
        tokio::spawn(async move {
            caller_server::serve(listener, router, limits, CallerShutdown::immediate(closing))
                .await;
            drop(closing_sender);
        });
        Ok(())
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn endpoint_label(status: &LimitStatus) -> KeyValue {
    KeyValue::new("endpoint", status.endpoint.clone())
}

fn scrape_response(metrics: &Metrics) -> Response<Body> {
    let mut response = Response::new(Body::from(metrics.scrape()));
    *response.status_mut() = StatusCode::OK;
    let content_type = HeaderValue::from_static(prometheus::TEXT_FORMAT);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn milliseconds(elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() * 1e3
}
