//! The endpoint role of a daemon: the agent of one endpoint.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::transport::Server;

use crate::CallRegistry;
use crate::CallRegistrySettings;
use crate::FairQueue;
use crate::FairQueueSettings;
use crate::Metrics;
use crate::actor::Actor;
use crate::agent_actor::AgentActor;
use crate::agent_actor::SharedLoad;
use crate::agent_channels::AgentChannels;
use crate::agent_command::AgentCommand;
use crate::agent_server::AgentServer;
use crate::agent_server::AgentState;
use crate::clock::Clock;
use crate::config_actor;
use crate::config_actor::SharedConfig;
use crate::config_follower::ServiceContact;
use crate::config_source::ConfigSource;
use crate::config_view::ConfigView;
use crate::daemon_error::DaemonError;
use crate::endpoint_client::EndpointClient;
use crate::endpoint_probe;
use crate::event;
use crate::in_flight::InFlightCounter;
use crate::incarnation::Incarnation;
use crate::listener::accept_peer_connections;
use crate::listener::listen;
use crate::listener::print_address;
use crate::peer_server::PeerServer;
use crate::peer_server::PeerState;
use crate::peer_server::RoleStatus;
use crate::platform_client::PlatformClient;
use crate::protos::control::IdleTime;
use crate::protos::control::agent_server::AgentServer as AgentService;
use crate::protos::control::peer_server::PeerServer as PeerService;
use crate::protos::control::rank_group_server::RankGroupServer as RankGroupService;
use crate::protos::settings::DaemonSettings;
use crate::protos::settings::EndpointSettings;
use crate::quarantine_push;
use crate::rank_agent;
use crate::rank_agent::RankAgent;
use crate::rank_command::RankCommand;
use crate::rank_server::RankServer;
use crate::shared_quarantine::SharedQuarantine;
use crate::shutdown;

const MEAN_ANSWER_BYTES: u64 = 4096;
const DIGEST_ANSWER_WINDOWS: u64 = 100;
const DIGESTS_PER_RECORD: usize = 10;
const RETRY_AFTER_MS: u64 = 500;
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const IDLE_METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Time within which every entry learns from a heartbeat that the agent is leaving.
const LEAVING_NOTICE: Duration = Duration::from_secs(3);

/// Runs the endpoint role until the process receives a signal to stop.
///
/// # Errors
///
/// Fails if a configured address can't be used.
pub async fn run_endpoint(settings: DaemonSettings) -> Result<(), DaemonError> {
    let control = settings.control.unwrap_or_default();
    let endpoint_settings = settings.endpoint.clone().unwrap_or_default();
    let connect_timeout = Duration::from_millis(control.connect_timeout_ms);
    let clock = Clock::start();
    let incarnation = Incarnation::random();
    let load = SharedLoad::default();
    let quarantine = SharedQuarantine::new(clock);
    let actor = AgentActor::new(
        clock,
        call_registry(incarnation, &endpoint_settings),
        fair_queue(&endpoint_settings),
        endpoint_settings.capacity,
        Arc::clone(&load),
        quarantine.clone(),
    )
    .spawn();
    let channels = AgentChannels::new(&control);
    let recent_peers = quarantine_push::spawn(&settings.vm_name, &quarantine, &channels);

    let config = SharedConfig::default();
    let config_actor = config_actor::spawn(
        Arc::clone(&config),
        parameters_setter(actor.clone(), &endpoint_settings.service),
    );
    let platform = PlatformClient::new(&settings.platform_address, connect_timeout);
    let (close, closing) = watch::channel(false);
    let rank = RankAgent::builder()
        .clock(clock)
        .incarnation(incarnation)
        .endpoint_settings(&endpoint_settings)
        .connect_timeout(connect_timeout)
        .channels(channels.clone())
        .platform(platform.clone())
        .config(Arc::clone(&config))
        .closing(closing.clone())
        .build()
        .start();
    let (config_pulls, pull_requests) = mpsc::channel(1);
    let source = ConfigSource {
        vm_name: settings.vm_name.clone(),
        platform,
        channels,
        config: Arc::clone(&config),
        actor: config_actor.clone(),
        quarantine: quarantine.clone(),
    };
    tokio::spawn(follow_configuration(source, pull_requests));

    let endpoint = EndpointClient::new(
        &endpoint_settings.endpoint_address,
        connect_timeout,
        usize::try_from(endpoint_settings.max_answer_bytes).unwrap_or(usize::MAX),
    );
    let (endpoint_up_sender, endpoint_up) = watch::channel(false);
    tokio::spawn(endpoint_probe::run(endpoint.clone(), endpoint_up_sender));
    let in_flight = InFlightCounter::default();
    let leaving = spawn_shutdown_tasks(&actor, &in_flight, close);
    let peer_state = PeerState {
        vm_name: settings.vm_name.clone(),
        role: "endpoint",
        incarnation,
        draining: leaving.subscribe(),
        config: Arc::clone(&config),
        in_flight: in_flight.clone(),
        config_actor,
        service_contact: ServiceContact::new(clock),
        quarantine: quarantine.clone(),
        serving: watch::channel(true).1,
        role_status: role_status(
            actor.clone(),
            rank.as_ref().map(|rank| rank.actor.clone()),
            &endpoint_settings.service,
        ),
    };
    let metrics = Metrics::new();
    metrics.serve(&endpoint_settings.metrics_address).await?;
    tokio::spawn(record_idle_times(
        actor.clone(),
        endpoint_settings.service.clone(),
        metrics.clone(),
    ));
    let state = AgentState {
        vm_name: settings.vm_name,
        service: endpoint_settings.service,
        incarnation,
        clock,
        config,
        endpoint,
        actor,
        load,
        in_flight,
        metrics,
        quarantine,
        recent_peers,
        leaving,
        config_pulls,
        endpoint_up,
    };
    serve(&settings.peer_address, state, peer_state, rank, closing).await
}

/// Serves entries and peers at `peer_address` until `closing` turns true.
async fn serve(
    peer_address: &str,
    state: AgentState,
    peer_state: PeerState,
    rank: Option<RankServer>,
    closing: watch::Receiver<bool>,
) -> Result<(), DaemonError> {
    let listener = listen("peer_address", peer_address).await?;
    print_address("peers", &listener);
    event!(AgentStarted, "peer_address={peer_address}");
    let server = AgentServer {
        state: Arc::new(state),
    };
    let peer_server = PeerServer {
        state: Arc::new(peer_state),
    };
    Server::builder()
        .add_service(AgentService::new(server))
        .add_service(PeerService::new(peer_server))
        .add_optional_service(rank.map(RankGroupService::new))
        .serve_with_incoming_shutdown(accept_peer_connections(listener), wait_until_true(closing))
        .await
        .map_err(|source| DaemonError::Serve {
            address: peer_address.to_owned(),
            source: Box::new(source),
        })
}

fn call_registry(incarnation: Incarnation, settings: &EndpointSettings) -> CallRegistry {
    let max_records = settings.max_call_records as usize;
    let max_records_per_organisation = settings.max_call_records_per_organisation as usize;
    let registry_settings = CallRegistrySettings::builder()
        .max_records(max_records)
        .max_records_per_organisation(max_records_per_organisation)
        .max_voids(max_records)
        .max_answer_bytes(max_records as u64 * MEAN_ANSWER_BYTES)
        .max_answer_bytes_per_organisation(max_records_per_organisation as u64 * MEAN_ANSWER_BYTES)
        .answer_window_ms(settings.answer_window_ms)
        .digest_horizon_ms(
            settings
                .answer_window_ms
                .saturating_mul(DIGEST_ANSWER_WINDOWS),
        )
        .max_digests(max_records * DIGESTS_PER_RECORD)
        .retry_after_ms(RETRY_AFTER_MS)
        .build();
    CallRegistry::new(registry_settings, incarnation)
}

fn fair_queue(settings: &EndpointSettings) -> FairQueue {
    let queue_settings = FairQueueSettings::builder()
        .capacity(settings.capacity)
        .max_queued_requests(settings.max_queued_requests)
        .build();
    FairQueue::new(queue_settings)
}

/// Returns a function that sends the parameters of the agent's service to its actor.
fn parameters_setter(
    actor: Actor<AgentCommand>,
    service: &str,
) -> impl Fn(&ConfigView) + Send + 'static {
    let service = service.to_owned();
    move |view| {
        let organisations = view
            .service(&service)
            .map(|service| service.template().organisations.clone())
            .unwrap_or_default();
        if let Err(error) = actor.submit_waiting(AgentCommand::SetParameters(organisations)) {
            log::warn!("set the parameters of service \"{service}\": {error}");
        }
    }
}

/// Starts the tasks that handle signals to stop. Returns the sender that marks the agent as
/// leaving.
fn spawn_shutdown_tasks(
    actor: &Actor<AgentCommand>,
    in_flight: &InFlightCounter,
    close: watch::Sender<bool>,
) -> watch::Sender<bool> {
    let draining = shutdown::listen();
    let (leaving, leaving_changes) = watch::channel(false);
    tokio::spawn(mark_leaving(draining.clone(), leaving.clone()));
    tokio::spawn(stop_admitting(leaving_changes, actor.clone()));
    tokio::spawn(drain(draining, in_flight.clone(), close));
    leaving
}

/// Marks the agent as leaving when its process receives a signal to stop.
async fn mark_leaving(mut draining: watch::Receiver<bool>, leaving: watch::Sender<bool>) {
    if draining.wait_for(|draining| *draining).await.is_ok() {
        leaving.send_replace(true);
    }
}

/// Refuses new calls once the agent is leaving, either by its own signal or by the platform's VM
/// list.
async fn stop_admitting(mut leaving: watch::Receiver<bool>, actor: Actor<AgentCommand>) {
    if leaving.wait_for(|leaving| *leaving).await.is_err() {
        return;
    }
    event!(DrainStarted);
    while actor.submit_or_return(AgentCommand::Drain).is_err() {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Reads the complete configuration once, then pulls newer revisions from the entries that announce
/// them.
///
/// Agents do not watch the configuration service, because the number of its requests would grow
/// with the fleet.
async fn follow_configuration(source: ConfigSource, mut pulls: mpsc::Receiver<String>) {
    if let Err(error) = source.read(0, Duration::ZERO).await {
        event!(ConfigServiceFailed, "{error}");
    }
    while let Some(peer) = pulls.recv().await {
        if let Err(error) = source.exchange(&peer).await {
            log::debug!("exchange with {peer}: {error:?}");
        }
    }
}

/// Returns a function that queries the agent's actors for idle times and the status of the rank.
fn role_status(
    actor: Actor<AgentCommand>,
    rank: Option<Actor<RankCommand>>,
    service: &str,
) -> Box<dyn Fn() -> BoxFuture<'static, RoleStatus> + Send + Sync> {
    let service = service.to_owned();
    Box::new(move || {
        let actor = actor.clone();
        let rank = rank.clone();
        let service = service.clone();
        Box::pin(async move {
            RoleStatus {
                members: Vec::new(),
                idle_times: idle_times(&actor, service).await,
                rank: rank_agent::status(rank).await,
            }
        })
    })
}

/// Queries the agent's actor for the idle times. Returns none if the actor is overloaded.
async fn idle_times(actor: &Actor<AgentCommand>, service: String) -> Vec<IdleTime> {
    let (reply, times) = oneshot::channel();
    if let Err(error) = actor.submit(AgentCommand::IdleTimes { service, reply }) {
        log::warn!("query the idle times of the agent's actor: {error}");
    }
    times.await.unwrap_or_default()
}

/// Updates the metrics of idle time until the process ends.
async fn record_idle_times(actor: Actor<AgentCommand>, service: String, metrics: Metrics) {
    loop {
        metrics.record_idle_times(&idle_times(&actor, service.clone()).await);
        tokio::time::sleep(IDLE_METRICS_INTERVAL).await;
    }
}

/// Waits until entries have learned that the agent is leaving and no call is in flight, then closes
/// the server.
async fn drain(
    mut draining: watch::Receiver<bool>,
    in_flight: InFlightCounter,
    close: watch::Sender<bool>,
) {
    if draining.wait_for(|draining| *draining).await.is_err() {
        return;
    }
    tokio::time::sleep(LEAVING_NOTICE).await;
    while in_flight.count() > 0 {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    event!(DrainFinished);
    let _ = close.send(true);
}

async fn wait_until_true(mut signal: watch::Receiver<bool>) {
    let _ = signal.wait_for(|is_set| *is_set).await;
}
