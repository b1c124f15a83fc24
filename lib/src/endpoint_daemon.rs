//! The endpoint role: an agent beside one endpoint.

use std::sync::Arc;
use std::time::Duration;

use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::agent_server::AgentServer;
use crate::agent_server::AgentState;
use crate::clock::Clock;
use crate::config_duty;
use crate::config_duty::SharedConfig;
use crate::daemon_error::DaemonError;
use crate::endpoint_client::EndpointClient;
use crate::in_flight::InFlight;
use crate::incarnation::Incarnation;
use crate::listener::announce;
use crate::listener::listen;
use crate::peer_server::PeerServer;
use crate::peer_server::PeerState;
use crate::platform_client::PlatformClient;
use crate::protos::control::agent_server::AgentServer as AgentService;
use crate::protos::control::peer_server::PeerServer as PeerService;
use crate::protos::settings::DaemonSettings;
use crate::shutdown;

/// Runs the endpoint role until the process is told to stop.
///
/// # Errors
///
/// Fails when an address is not usable.
pub async fn run_endpoint(settings: DaemonSettings) -> Result<(), DaemonError> {
    let control = settings.control.unwrap_or_default();
    let endpoint = settings.endpoint.clone().unwrap_or_default();
    let connect_timeout = Duration::from_millis(control.connect_timeout_ms);
    let platform = PlatformClient::new(&settings.platform_address, connect_timeout);
    let config = SharedConfig::default();
    let config_duty = config_duty::spawn(Arc::clone(&config));
    let wait = Duration::from_millis(control.watch_wait_ms);
    tokio::spawn(config_duty::watch(platform, config_duty, wait));

    let in_flight = InFlight::default();
    let incarnation = Incarnation::random();
    let peer_state = PeerState {
        vm_name: settings.vm_name.clone(),
        role: "endpoint",
        incarnation,
        draining: shutdown::listen(),
        config: Arc::clone(&config),
        in_flight,
    };
    let max_answer_bytes = usize::try_from(endpoint.max_answer_bytes).unwrap_or(usize::MAX);
    let state = AgentState {
        vm_name: settings.vm_name.clone(),
        service: endpoint.service.clone(),
        incarnation,
        clock: Clock::start(),
        config,
        endpoint: EndpointClient::new(
            &endpoint.endpoint_address,
            connect_timeout,
            max_answer_bytes,
        ),
    };
    let server = AgentServer {
        state: Arc::new(state),
    };
    let listener = listen("peer_address", &settings.peer_address).await?;
    announce("peers", &listener);
    let peer_server = PeerServer {
        state: Arc::new(peer_state),
    };
    Server::builder()
        .add_service(AgentService::new(server))
        .add_service(PeerService::new(peer_server))
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
        .map_err(|source| DaemonError::Serve {
            address: settings.peer_address,
            source: Box::new(source),
        })
}
