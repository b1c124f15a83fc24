//! The endpoint role: an agent beside one endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::agent_server::AgentServer;
use crate::agent_server::AgentState;
use crate::clock::Clock;
use crate::config_duty;
use crate::config_duty::SharedConfig;
use crate::daemon_error::DaemonError;
use crate::endpoint_client::EndpointClient;
use crate::incarnation::Incarnation;
use crate::platform_client::PlatformClient;
use crate::protos::control::agent_server::AgentServer as AgentService;
use crate::protos::settings::DaemonSettings;

/// Runs the endpoint role until the process is told to stop.
///
/// # Errors
///
/// Fails when an address is not usable.
pub async fn run_endpoint(settings: DaemonSettings) -> Result<(), DaemonError> {
    let control = settings.control.clone().unwrap_or_default();
    let endpoint = settings.endpoint.clone().unwrap_or_default();
    let connect_timeout = Duration::from_millis(control.connect_timeout_ms);
    let platform = PlatformClient::new(&settings.platform_address, connect_timeout);
    let config = SharedConfig::default();
    let config_duty = config_duty::spawn(Arc::clone(&config));
    let wait = Duration::from_millis(control.watch_wait_ms);
    tokio::spawn(config_duty::watch(platform, config_duty, wait));

    let max_answer_bytes = usize::try_from(endpoint.max_answer_bytes).unwrap_or(usize::MAX);
    let state = AgentState {
        vm_name: settings.vm_name.clone(),
        service: endpoint.service.clone(),
        incarnation: Incarnation::random(),
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
    let address = parse_address("peer_address", &settings.peer_address)?;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Listen {
            address: settings.peer_address.clone(),
            source,
        })?;
    println!("listening {address}");
    Server::builder()
        .add_service(AgentService::new(server))
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
        .map_err(|source| DaemonError::Serve {
            address: settings.peer_address,
            source: Box::new(source),
        })
}

/// Parses an IP address and port of the settings.
pub(crate) fn parse_address(name: &'static str, text: &str) -> Result<SocketAddr, DaemonError> {
    text.parse().map_err(|_| DaemonError::Address {
        name,
        value: text.to_owned(),
    })
}
