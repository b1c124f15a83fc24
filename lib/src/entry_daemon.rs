//! The entry role: the process that callers connect to.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::HeaderValue;
use http::Response;
use http::header::CONTENT_TYPE;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::transport::Server;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::server::extract::Query;
use volo_http::server::param::PathParams;
use volo_http::server::route::Router;
use volo_http::server::route::get;
use volo_http::server::route::post;

use crate::AddressAnswer;
use crate::AddressRequest;
use crate::EntryRecord;
use crate::Metrics;
use crate::VmListReadRate;
use crate::actor::Actor;
use crate::agent_channels::AgentChannels;
use crate::agent_reports::AgentReports;
use crate::caller_error::CallerError;
use crate::caller_server;
use crate::caller_server::CallerLimits;
use crate::caller_server::CallerShutdown;
use crate::clock::Clock;
use crate::completion;
use crate::config_actor;
use crate::config_actor::SharedConfig;
use crate::config_follower::ConfigFollower;
use crate::config_follower::ServiceContact;
use crate::config_source::ConfigSource;
use crate::control_loop::ControlLoop;
use crate::daemon_error::DaemonError;
use crate::entry_server::EntryState;
use crate::entry_server::overloaded;
use crate::entry_server::respond;
use crate::event;
use crate::fleet_view::ListedEntry;
use crate::in_flight::InFlightCounter;
use crate::incarnation::Incarnation;
use crate::listener::accept_peer_connections;
use crate::listener::listen;
use crate::listener::local_address;
use crate::listener::print_address;
use crate::peer_server::PeerServer;
use crate::peer_server::PeerState;
use crate::peer_server::RoleStatus;
use crate::plain_call;
use crate::platform_client::PlatformClient;
use crate::protos::control::peer_server::PeerServer as PeerService;
use crate::protos::settings::ControlSettings;
use crate::protos::settings::DaemonSettings;
use crate::protos::settings::EntrySettings;
use crate::quarantine_push;
use crate::routing_actor;
use crate::routing_actor::RoutingCommand;
use crate::routing_settings::RoutingSettings;
use crate::shared_quarantine::SharedQuarantine;
use crate::shutdown;

/// Runs the entry role until the process has shut down.
///
/// # Errors
///
/// Fails if an address is invalid or can't be bound.
pub async fn run_entry(settings: DaemonSettings) -> Result<(), DaemonError> {
    let control = settings.control.unwrap_or_default();
    let entry = settings.entry.clone().unwrap_or_default();
    let connect_timeout = Duration::from_millis(control.connect_timeout_ms);
    let clock = Clock::start();
    let platform = PlatformClient::new(&settings.platform_address, connect_timeout);
    let config = SharedConfig::default();
    let config_actor = config_actor::spawn(Arc::clone(&config), |_| {});
    let channels = AgentChannels::new(&control);
    let quarantine = SharedQuarantine::new(clock);
    let routing = routing_actor::spawn(clock, routing_settings(&settings));
    let reports = AgentReports::new(clock, routing.clone());
    let peer_listener = listen("peer_address", &settings.peer_address).await?;
    print_address("peers", &peer_listener);

    let source = ConfigSource {
        vm_name: settings.vm_name.clone(),
        platform: platform.clone(),
        channels: channels.clone(),
        config: Arc::clone(&config),
        actor: config_actor.clone(),
        quarantine: quarantine.clone(),
    };
    let recent_peers = quarantine_push::spawn(&settings.vm_name, &quarantine, &channels);
    let (config_pulls, pull_requests) = mpsc::channel(1);
    let control_loop = ControlLoop {
        vm_name: settings.vm_name.clone(),
        peer_address: local_address(&peer_listener),
        platform,
        channels: channels.clone(),
        config: Arc::clone(&config),
        reports: reports.clone(),
        routing: routing.clone(),
        heartbeat_timeout: Duration::from_millis(control.heartbeat_interval_ms) * 2,
        vm_list_read_rate: vm_list_read_rate(&control),
        config_pulls,
        quarantine: quarantine.clone(),
        recent_peers,
    };
    let (plan_sender, plans) = watch::channel(None);
    tokio::spawn(control_loop.run(plan_sender));
    tokio::spawn(pull_from_agents(source.clone(), pull_requests));
    let service_contact = ServiceContact::new(clock);
    let follower = ConfigFollower {
        source,
        routing: routing.clone(),
        clock,
        service_contact: service_contact.clone(),
        exchange_interval: Duration::from_millis(control.peer_exchange_interval_ms),
        watch_wait: Duration::from_millis(control.watch_wait_ms),
    };
    let (set_serving, serving) = watch::channel(false);

    let in_flight = InFlightCounter::default();
    let draining = shutdown::listen();
    let limits = caller_limits(&entry);
    let address_lifetime = Duration::from_millis(entry.address_lifetime_ms);
    let peer_state = PeerState {
        vm_name: settings.vm_name.clone(),
        role: "entry",
        incarnation: Incarnation::random(),
        draining: draining.clone(),
        config: Arc::clone(&config),
        in_flight: in_flight.clone(),
        config_actor,
        service_contact,
        quarantine: quarantine.clone(),
        serving,
        role_status: role_status(routing.clone()),
    };
    serve_peers(peer_state, peer_listener);
    follower.catch_up(plans.clone()).await;
    tokio::spawn(follower.run(plans));
    set_serving.send_replace(true);
    let metrics = Metrics::new();
    metrics.serve(&entry.metrics_address).await?;
    let listener = listen("entry.caller_address", &entry.caller_address).await?;
    print_address("callers", &listener);
    event!(EntryStarted, "caller_address={}", entry.caller_address);
    let state = Arc::new(EntryState {
        settings: entry,
        peer_key: settings.peer_key,
        channels,
        config,
        routing,
        reports,
        in_flight: in_flight.clone(),
        metrics,
        quarantine,
    });
    let (close, closing) = watch::channel(false);
    tokio::spawn(drain(draining, address_lifetime, close));
    caller_server::serve(
        listener,
        router(&state),
        limits,
        CallerShutdown::immediate(closing),
    )
    .await;
    Ok(())
}

fn vm_list_read_rate(control: &ControlSettings) -> VmListReadRate {
    VmListReadRate {
        interval_ms: control.vm_list_interval_ms,
        max_bytes_per_s: control.vm_list_bytes_per_s,
    }
}

fn caller_limits(entry: &EntrySettings) -> CallerLimits {
    CallerLimits {
        header_timeout: Duration::from_millis(entry.header_timeout_ms),
        max_connections: entry.max_connections as usize,
    }
}

fn routing_settings(settings: &DaemonSettings) -> RoutingSettings {
    let control = settings.control.unwrap_or_default();
    let entry = settings.entry.clone().unwrap_or_default();
    RoutingSettings::builder()
        .vm_name(settings.vm_name.clone())
        .availability_zone(settings.availability_zone.clone())
        .heartbeat_interval_ms(control.heartbeat_interval_ms)
        .heartbeat_bytes_per_s(control.heartbeat_bytes_per_s)
        .suspect_after_ms(control.suspect_after_ms)
        .readers_per_zone(control.config_readers_per_zone as usize)
        .endpoints_per_service(entry.endpoints_per_service as usize)
        .retry_percent(entry.retry_budget_percent)
        .build()
}

/// Serves the interface for other processes and operators until the process ends.
fn serve_peers(state: PeerState, listener: TcpListener) {
    let server = PeerServer {
        state: Arc::new(state),
    };
    let serving = Server::builder()
        .add_service(PeerService::new(server))
        .serve_with_incoming(accept_peer_connections(listener));
    tokio::spawn(serving);
}

/// Exchanges configuration with each agent that has a newer one than this entry.
async fn pull_from_agents(source: ConfigSource, mut pulls: mpsc::Receiver<String>) {
    while let Some(peer) = pulls.recv().await {
        if let Err(error) = source.exchange(&peer).await {
            log::debug!("configuration exchange with {peer} failed: {error:?}");
        }
    }
}

/// Returns a function that requests the members from the routing actor for a status reply.
fn role_status(
    routing: Actor<RoutingCommand>,
) -> Box<dyn Fn() -> BoxFuture<'static, RoleStatus> + Send + Sync> {
    Box::new(move || {
        let routing = routing.clone();
        Box::pin(async move {
            let (reply, members) = oneshot::channel();
            if let Err(error) = routing.submit(RoutingCommand::Members { reply }) {
                log::warn!("cannot request the members for a status reply: {error}");
            }
            RoleStatus {
                members: members.await.unwrap_or_default(),
                idle_times: Vec::new(),
                rank: None,
            }
        })
    })
}

/// Closes the listener after shutdown has begun, once no caller can still have this entry's address
/// cached. Requests in flight then go on until they end.
async fn drain(
    mut draining: watch::Receiver<bool>,
    address_lifetime: Duration,
    close: watch::Sender<bool>,
) {
    if draining.wait_for(|draining| *draining).await.is_err() {
        return;
    }
    tokio::time::sleep(address_lifetime).await;
    let _ = close.send(true);
}

fn router(state: &Arc<EntryState>) -> Router {
    let for_addresses = Arc::clone(state);
    let for_endpoints = Arc::clone(state);
    let for_completions = Arc::clone(state);
    let for_services = Arc::clone(state);
    Router::new()
        .route(
            "/v1/addresses",
            get(move |Query(query): Query<HashMap<String, String>>| {
                addresses(Arc::clone(&for_addresses), query)
            }),
        )
        .route(
            "/v1/endpoints",
            get(move |Query(query): Query<HashMap<String, String>>| {
                endpoints(Arc::clone(&for_endpoints), query)
            }),
        )
        .route(
            "/v1/completions",
            post(move |request: Request| completion::handle(Arc::clone(&for_completions), request)),
        )
        .route(
            "/v1/services/{service}/{call}",
            post(
                move |PathParams((service, call)): PathParams<(String, String)>,
                      request: Request| {
                    plain_call::handle(Arc::clone(&for_services), service, call, request)
                },
            ),
        )
}

async fn addresses(state: Arc<EntryState>, query: HashMap<String, String>) -> Response<Body> {
    respond(answer_addresses(&state, &query).await)
}

async fn answer_addresses(
    state: &EntryState,
    query: &HashMap<String, String>,
) -> Result<Response<Body>, CallerError> {
    let (reply, answer) = oneshot::channel();
    state
        .routing
        .submit(RoutingCommand::Entries { reply })
        .map_err(|_| overloaded())?;
    let entries = answer.await.map_err(|_| overloaded())?;
    let records: Vec<EntryRecord> = entries.iter().map(ListedEntry::as_record).collect();
    let request = AddressRequest::builder()
        .caller(query.get("caller").map_or("", String::as_str))
        .maybe_availability_zone(query.get("availability_zone").map(String::as_str))
        .max_lifetime_ms(state.settings.address_lifetime_ms)
        .build();
    let answer = AddressAnswer::choose(&records, &request);
    let mut body = json!({
        "addresses": answer.addresses,
        "lifetime_ms": answer.lifetime_ms,
    });
    if let Some(service) = query.get("service") {
        body["placement"] = plain_call::fresh_placement(state, service).await?.into();
    }
    Ok(json_response(&body))
}

/// Handles a request for the number of endpoints of a service that this entry can use.
async fn endpoints(state: Arc<EntryState>, query: HashMap<String, String>) -> Response<Body> {
    let service = query.get("service").map_or("", String::as_str);
    respond(answer_endpoints(&state, service).await)
}

async fn answer_endpoints(
    state: &EntryState,
    service: &str,
) -> Result<Response<Body>, CallerError> {
    let usable = state.homes(service).await?.len();
    let view = state.config.load();
    let body = json!({
        "service": service,
        "usable": usable,
        "configured": view.service(service).is_some(),
        "config_revision": view.revision,
    });
    Ok(json_response(&body))
}

fn json_response(body: &Value) -> Response<Body> {
    let mut response = Response::new(Body::from(Bytes::from(body.to_string())));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
