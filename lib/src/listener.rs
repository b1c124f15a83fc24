//! Listening and datagram sockets of a daemon.

use std::io;
use std::net::SocketAddr;

use futures::Stream;
use futures::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio_stream::wrappers::TcpListenerStream;

use crate::daemon_error::DaemonError;
use crate::socket_options;
use crate::socket_options::KeepaliveSettings;

/// Opens a listening socket at the IP address and port in the setting `name`.
///
/// # Errors
///
/// Fails when the address is malformed or already in use.
pub(crate) async fn listen(name: &'static str, address: &str) -> Result<TcpListener, DaemonError> {
    let parsed: SocketAddr = address.parse().map_err(|_| DaemonError::Address {
        name,
        value: address.to_owned(),
    })?;
    TcpListener::bind(parsed)
        .await
        .map_err(|source| DaemonError::Listen {
            address: address.to_owned(),
            source,
        })
}

/// Opens a UDP socket at an IP address and port.
///
/// # Errors
///
/// Fails when the address is already in use.
pub(crate) async fn bind_datagram_socket(address: &str) -> Result<UdpSocket, DaemonError> {
    let socket = UdpSocket::bind(address).await;
    socket.map_err(|source| DaemonError::Listen {
        address: address.to_owned(),
        source,
    })
}

/// Accepts connections from other pomeloramp processes.
///
/// The frames of an answer are small writes. Without the options set by
/// [`socket_options::configure`], each of them would wait for a TCP acknowledgement.
pub(crate) fn accept_peer_connections(
    listener: TcpListener,
) -> impl Stream<Item = io::Result<TcpStream>> {
    TcpListenerStream::new(listener).map(|accepted| {
        let stream = accepted?;
        socket_options::configure(&stream, KeepaliveSettings::LONG)?;
        Ok(stream)
    })
}

/// Prints the address of a listening socket; for port 0 the operating system selects the port.
pub(crate) fn print_address(name: &str, listener: &TcpListener) {
    println!("{name} {}", local_address(listener));
}

/// Returns the address of a listening socket.
pub(crate) fn local_address(listener: &TcpListener) -> String {
    listener
        .local_addr()
        .map(|address| address.to_string())
        .unwrap_or_default()
}
