//! The entry role: the process that callers connect to.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::header::CONTENT_TYPE;
use serde_json::json;
use tokio::sync::oneshot;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::server::Server;
use volo_http::server::extract::Query;
use volo_http::server::param::PathParams;
use volo_http::server::route::Router;
use volo_http::server::route::get;
use volo_http::server::route::post;

use crate::agent_channels::AgentChannels;
use crate::caller_error::CallerError;
use crate::clock::Clock;
use crate::completion;
use crate::config_duty;
use crate::config_duty::SharedConfig;
use crate::control_loop::ControlLoop;
use crate::daemon_error::DaemonError;
use crate::endpoint_daemon::parse_address;
use crate::entry_server::EntryState;
use crate::entry_server::InFlight;
use crate::entry_server::overloaded;
use crate::entry_server::respond;
use crate::plain_call;
use crate::platform_client::PlatformClient;
use crate::protos::settings::DaemonSettings;
use crate::routing_duty;
use crate::routing_duty::RoutingCommand;

const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the entry role until the process is told to stop.
///
/// # Errors
///
/// Fails when an address is not usable.
pub async fn run_entry(settings: DaemonSettings) -> Result<(), DaemonError> {
    let control = settings.control.clone().unwrap_or_default();
    let entry = settings.entry.clone().unwrap_or_default();
    let connect_timeout = Duration::from_millis(control.connect_timeout_ms);
    let platform = PlatformClient::new(&settings.platform_address, connect_timeout);
    let config = SharedConfig::default();
    let config_duty = config_duty::spawn(Arc::clone(&config));
    let wait = Duration::from_millis(control.watch_wait_ms);
    tokio::spawn(config_duty::watch(platform.clone(), config_duty, wait));

    let channels = AgentChannels::new(&control);
    let routing = routing_duty::spawn(Clock::start(), control.suspect_after_ms);
    let control_loop = ControlLoop {
        vm_name: settings.vm_name.clone(),
        platform,
        channels: channels.clone(),
        config: Arc::clone(&config),
        routing: routing.clone(),
        heartbeat_interval: Duration::from_millis(control.heartbeat_interval_ms),
        vm_list_interval: Duration::from_millis(control.vm_list_interval_ms),
    };
    tokio::spawn(control_loop.run());

    let in_flight = InFlight::default();
    let state = Arc::new(EntryState {
        settings: entry.clone(),
        channels,
        config,
        routing,
        in_flight: in_flight.clone(),
    });
    let address = parse_address("entry.caller_address", &entry.caller_address)?;
    println!("listening {address}");
    Server::new(router(&state))
        .register_shutdown_hook(move || Box::pin(drain(in_flight)))
        .run(Address::from(address))
        .await
        .map_err(|source| DaemonError::Serve {
            address: entry.caller_address,
            source,
        })
}

async fn drain(in_flight: InFlight) {
    while in_flight.count() > 0 {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

fn router(state: &Arc<EntryState>) -> Router {
    let for_addresses = Arc::clone(state);
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
    let listed: Vec<_> = entries
        .iter()
        .filter(|entry| entry.state != "leaving")
        .map(|entry| {
            json!({
                "address": entry.caller_address,
                "availability_zone": entry.availability_zone,
            })
        })
        .collect();
    let mut body = json!({
        "addresses": listed,
        "lifetime_ms": state.settings.address_lifetime_ms,
    });
    if let Some(service) = query.get("service") {
        body["placement"] = plain_call::fresh_placement(state, service).await?.into();
    }
    let mut response = Response::new(Body::from(Bytes::from(body.to_string())));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}
