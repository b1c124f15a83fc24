//! Options of the TCP connections of a daemon.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// TCP keepalive and user timeout, after which the operating system closes a connection whose
/// packets are not acknowledged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeepaliveSettings {
    /// Idle time before the first keepalive probe.
    idle: Duration,
    /// Time between two keepalive probes.
    interval: Duration,
    retries: u32,
    /// Time after which unacknowledged data closes the connection.
    unacknowledged: Duration,
}

impl KeepaliveSettings {
    /// Closes a dead connection within 11 s. For callers, whose networks may be interrupted for
    /// seconds, and for connections between daemons, which send their own pings.
    pub(crate) const LONG: Self = Self {
        idle: Duration::from_secs(5),
        interval: Duration::from_secs(2),
        retries: 3,
        unacknowledged: Duration::from_secs(10),
    };

    /// Closes a dead connection within 4 s. For endpoints and the platform, which are nearby and
    /// send no pings.
    pub(crate) const SHORT: Self = Self {
        idle: Duration::from_secs(1),
        interval: Duration::from_secs(1),
        retries: 2,
        unacknowledged: Duration::from_secs(3),
    };
}

/// Disables Nagle's algorithm, so that small writes are sent immediately, and sets the keepalive
/// options.
///
/// # Errors
///
/// Fails when the operating system refuses an option.
pub(crate) fn configure(stream: &TcpStream, keepalive: KeepaliveSettings) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let tcp_keepalive = TcpKeepalive::new()
        .with_time(keepalive.idle)
        .with_interval(keepalive.interval)
        .with_retries(keepalive.retries);
    socket.set_tcp_keepalive(&tcp_keepalive)?;
    socket.set_tcp_user_timeout(Some(keepalive.unacknowledged))
}
