//! gRPC connections to agents and to other daemons.

use std::collections::HashMap;
use std::error::Error;
use std::fmt;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use tonic::transport::Uri;

use crate::protos::settings::ControlSettings;
use crate::socket_options;
use crate::socket_options::KeepaliveSettings;

const CONNECT_FAILED: &str = "no connection to the peer";
const REFUSED: &str = "connection refused";

/// Connects lazily and keeps one HTTP/2 connection per peer.
///
/// Keepalive pings detect a half-open connection. Its channel then fails and reconnects at the next
/// call.
#[derive(Debug, Clone)]
pub(crate) struct AgentChannels {
    connect_timeout: Duration,
    keepalive_interval: Duration,
    keepalive_timeout: Duration,
    channels: Arc<Mutex<HashMap<String, Channel>>>,
}

impl AgentChannels {
    /// Creates an empty set of connections.
    pub(crate) fn new(settings: &ControlSettings) -> Self {
        Self {
            connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
            keepalive_interval: Duration::from_millis(settings.keepalive_interval_ms),
            keepalive_timeout: Duration::from_millis(settings.keepalive_timeout_ms),
            channels: Arc::default(),
        }
    }

    /// Returns the channel to `peer`, which is given as IP address and port.
    pub(crate) fn get(&self, peer: &str) -> Result<Channel, Status> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(peer) {
            return Ok(channel.clone());
        }
        let channel = self.open(peer)?;
        channels.insert(peer.to_owned(), channel.clone());
        Ok(channel)
    }

    /// Closes the channels to the peers for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.channels
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|peer, _| keep(peer));
    }

    fn open(&self, peer: &str) -> Result<Channel, Status> {
        let endpoint = Endpoint::from_shared(format!("http://{peer}"))
            .map_err(|error| Status::invalid_argument(format!("peer \"{peer}\": {error}")))?
            .http2_keep_alive_interval(self.keepalive_interval)
            .keep_alive_timeout(self.keepalive_timeout)
            .keep_alive_while_idle(true);
        let connect_timeout = self.connect_timeout;
        let connector =
            tower::service_fn(move |uri: Uri| async move { connect(&uri, connect_timeout).await });
        Ok(endpoint.connect_with_connector_lazy(connector))
    }
}

/// Returns whether a call failed before a connection was established, so that no byte was written.
pub(crate) fn is_connect_failure(status: &Status) -> bool {
    status.message().starts_with(CONNECT_FAILED)
}

/// Returns whether the peer's address refused the connection, since no process listens there.
pub(crate) fn is_refused_connection(status: &Status) -> bool {
    is_connect_failure(status) && status.message().contains(REFUSED)
}

async fn connect(uri: &Uri, timeout: Duration) -> Result<TokioIo<TcpStream>, ConnectFailure> {
    let peer = uri.authority().map(ToString::to_string).unwrap_or_default();
    let failure = |reason: String| ConnectFailure {
        peer: peer.clone(),
        reason,
    };
    let stream = tokio::time::timeout(timeout, TcpStream::connect(&peer))
        .await
        .map_err(|_| failure(format!("timeout after {} ms", timeout.as_millis())))?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => failure(REFUSED.to_owned()),
            _ => failure(error.to_string()),
        })?;
    socket_options::configure(&stream, KeepaliveSettings::LONG)
        .map_err(|error| failure(error.to_string()))?;
    Ok(TokioIo::new(stream))
}

#[derive(Debug)]
struct ConnectFailure {
    peer: String,
    reason: String,
}

impl fmt::Display for ConnectFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{CONNECT_FAILED} {}: {}", self.peer, self.reason)
    }
}

impl Error for ConnectFailure {}
