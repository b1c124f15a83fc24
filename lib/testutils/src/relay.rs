//! A TCP relay on the loopback interface that can cut connections, silence them or drop their
//! packets.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use socket2::SockFilter;
use socket2::SockRef;

const BUFFER_BYTES: usize = 16 << 10;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Opcode of the classic BPF instruction `ret`, whose constant is the number of bytes to keep.
const BPF_RETURN: u16 = 0x06;
const DROP_EVERY_PACKET: [SockFilter; 1] = [SockFilter::new(BPF_RETURN, 0, 0, 0)];

/// Forwards TCP connections from one loopback address to another.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

#[derive(Debug, Default)]
struct RelayState {
    is_cut: AtomicBool,
    refuses_new: AtomicBool,
    is_ended: AtomicBool,
    target: Mutex<String>,
    forwarded_bytes: Arc<AtomicU64>,
    open: Mutex<Vec<RelayedConnection>>,
}

#[derive(Debug)]
struct RelayedConnection {
    is_silent: Arc<AtomicBool>,
    caller: TcpStream,
    target: TcpStream,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be opened.
    #[must_use]
    pub fn start(target: &str) -> Self {
        let relay = Self::start_without_target();
        relay.set_target(target);
        relay
    }

    /// Starts a relay that closes every connection until it has a target.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be opened.
    #[must_use]
    pub fn start_without_target() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let state = Arc::new(RelayState::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || accept_connections(&listener, &shared));
        Self { address, state }
    }

    /// Forwards new connections to `target`.
    pub fn set_target(&self, target: &str) {
        let mut current = self.state.target();
        target.clone_into(&mut current);
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Closes the open connections, and every new one at once.
    pub fn cut(&self) {
        self.state.is_cut.store(true, Ordering::Release);
        self.state.close_all();
    }

    /// Closes every new connection at once; the open ones continue to work.
    pub fn refuse_new_connections(&self) {
        self.state.refuses_new.store(true, Ordering::Release);
    }

    /// Forwards new connections again.
    pub fn heal(&self) {
        self.state.is_cut.store(false, Ordering::Release);
        self.state.refuses_new.store(false, Ordering::Release);
    }

    /// Returns whether a connection has been forwarded.
    #[must_use]
    pub fn has_connections(&self) -> bool {
        !self.state.open_connections().is_empty()
    }

    /// Returns the number of bytes forwarded so far in both directions.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.state.forwarded_bytes.load(Ordering::Acquire)
    }

    /// Makes the open connections silent for good; new ones work.
    ///
    /// The operating system still acknowledges what the two ends send, so that only the ends
    /// themselves can detect the silence.
    pub fn silence_open_connections(&self) {
        for connection in self.state.open_connections().iter() {
            connection.is_silent.store(true, Ordering::Release);
        }
    }

    /// Drops every packet of the open connections from now on; new connections work.
    ///
    /// Nothing that the two ends send is acknowledged, as if a device between them had lost track
    /// of the connection.
    ///
    /// # Panics
    ///
    /// Panics if the operating system rejects the packet filter.
    pub fn drop_packets_of_open_connections(&self) {
        self.silence_open_connections();
        for connection in self.state.open_connections().iter() {
            for socket in [&connection.caller, &connection.target] {
                SockRef::from(socket)
                    .attach_filter(&DROP_EVERY_PACKET)
                    .expect("the socket takes a packet filter");
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.is_ended.store(true, Ordering::Release);
        self.cut();
        let _ = TcpStream::connect(self.address);
    }
}

impl RelayState {
    fn target(&self) -> MutexGuard<'_, String> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open_connections(&self) -> MutexGuard<'_, Vec<RelayedConnection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close_all(&self) {
        for connection in self.open_connections().drain(..) {
            let _ = connection.caller.shutdown(Shutdown::Both);
            let _ = connection.target.shutdown(Shutdown::Both);
        }
    }
}

fn accept_connections(listener: &TcpListener, state: &Arc<RelayState>) {
    for caller in listener.incoming() {
        if state.is_ended.load(Ordering::Acquire) {
            return;
        }
        let Ok(caller) = caller else { continue };
        let is_refused =
            state.is_cut.load(Ordering::Acquire) || state.refuses_new.load(Ordering::Acquire);
        if is_refused {
            continue;
        }
        let target = state.target().clone();
        let _ = forward(&caller, &target, state);
    }
}

fn forward(caller: &TcpStream, target: &str, state: &RelayState) -> std::io::Result<()> {
    let target = TcpStream::connect(target)?;
    let is_silent = Arc::new(AtomicBool::new(false));
    pump(
        caller.try_clone()?,
        target.try_clone()?,
        Arc::clone(&is_silent),
        Arc::clone(&state.forwarded_bytes),
    );
    pump(
        target.try_clone()?,
        caller.try_clone()?,
        Arc::clone(&is_silent),
        Arc::clone(&state.forwarded_bytes),
    );
    let connection = RelayedConnection {
        is_silent,
        caller: caller.try_clone()?,
        target,
    };
    state.open_connections().push(connection);
    Ok(())
}

fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    is_silent: Arc<AtomicBool>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    thread::spawn(move || {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if is_silent.load(Ordering::Acquire) {
                // Neither the bytes nor the end of the connection are forwarded.
                if count == 0 {
                    thread::sleep(POLL_INTERVAL);
                }
                continue;
            }
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            forwarded_bytes.fetch_add(count as u64, Ordering::AcqRel);
        }
    });
}
