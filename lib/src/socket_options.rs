//! Options that every TCP connection of a daemon gets.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How soon the operating system gives up a connection whose packets are not acknowledged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeepaliveSettings {
    idle: Duration,
    interval: Duration,
    retries: u32,
    unacknowledged: Duration,
}

impl KeepaliveSettings {
    /// Gives a connection up within 11 s; for callers, whose networks may pause for seconds, and
    /// for connections between daemons, which have pings of their own.
    pub(crate) const LONG: Self = Self {
        idle: Duration::from_secs(5),
        interval: Duration::from_secs(2),
        retries: 3,
        unacknowledged: Duration::from_secs(10),
    };

    /// Gives a connection up within 4 s; for endpoints and the platform, which are near and have
    /// no pings.
    pub(crate) const SHORT: Self = Self {
        idle: Duration::from_secs(1),
        interval: Duration::from_secs(1),
        retries: 2,
        unacknowledged: Duration::from_secs(3),
    };
}

/// Sends small writes at once and finds a silent connection within `bound`.
///
/// # Errors
///
/// Fails when the operating system refuses an option.
pub(crate) fn configure(stream: &TcpStream, bound: KeepaliveSettings) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(bound.idle)
        .with_interval(bound.interval)
        .with_retries(bound.retries);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(bound.unacknowledged))
}
