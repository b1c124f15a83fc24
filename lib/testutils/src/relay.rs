//! A loopback relay that can cut connections, let them go silent or drop their packets.

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
/// Classic BPF instruction `ret`, with the length to keep as its constant.
const BPF_RETURN: u16 = 0x06;
const DROP_EVERY_PACKET: [SockFilter; 1] = [SockFilter::new(BPF_RETURN, 0, 0, 0)];

/// Forwards connections from one loopback address to another.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    switches: Arc<Switches>,
}

#[derive(Debug, Default)]
struct Switches {
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
    /// Panics when no loopback port can be opened.
    #[must_use]
    pub fn start(target: &str) -> Self {
        let relay = Self::start_without_target();
        relay.set_target(target);
        relay
    }

    /// Starts a relay that breaks every connection until it has a target.
    ///
    /// # Panics
    ///
    /// Panics when no loopback port can be opened.
    #[must_use]
    pub fn start_without_target() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let switches = Arc::new(Switches::default());
        let shared = Arc::clone(&switches);
        thread::spawn(move || accept_connections(&listener, &shared));
        Self { address, switches }
    }

    /// Forwards new connections to `target`.
    pub fn set_target(&self, target: &str) {
        let mut known = self.switches.target();
        target.clone_into(&mut known);
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Breaks the open connections and refuses new ones.
    pub fn cut(&self) {
        self.switches.is_cut.store(true, Ordering::Release);
        self.switches.close_all();
    }

    /// Refuses new connections; the open ones go on.
    pub fn refuse_new_connections(&self) {
        self.switches.refuses_new.store(true, Ordering::Release);
    }

    /// Accepts connections again.
    pub fn heal(&self) {
        self.switches.is_cut.store(false, Ordering::Release);
        self.switches.refuses_new.store(false, Ordering::Release);
    }

    /// Tells whether a connection has been forwarded.
    #[must_use]
    pub fn has_connections(&self) -> bool {
        !self.switches.open_connections().is_empty()
    }

    /// Returns the bytes forwarded in both directions so far.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.switches.forwarded_bytes.load(Ordering::Acquire)
    }

    /// Lets the open connections go silent for good; new ones work.
    ///
    /// The operating system goes on to acknowledge what the two ends send, so that only they can
    /// find out.
    pub fn silence_open_connections(&self) {
        for connection in self.switches.open_connections().iter() {
            connection.is_silent.store(true, Ordering::Release);
        }
    }

    /// Drops every packet of the open connections from now on; new ones work.
    ///
    /// Nothing that the two ends send is acknowledged, as if a device between them had lost track
    /// of the connection.
    ///
    /// # Panics
    ///
    /// Panics when the operating system takes no packet filter.
    pub fn drop_packets_of_open_connections(&self) {
        self.silence_open_connections();
        for connection in self.switches.open_connections().iter() {
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
        self.switches.is_ended.store(true, Ordering::Release);
        self.cut();
        let _ = TcpStream::connect(self.address);
    }
}

impl Switches {
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

fn accept_connections(listener: &TcpListener, switches: &Arc<Switches>) {
    for caller in listener.incoming() {
        if switches.is_ended.load(Ordering::Acquire) {
            return;
        }
        let Ok(caller) = caller else { continue };
        let is_refused =
            switches.is_cut.load(Ordering::Acquire) || switches.refuses_new.load(Ordering::Acquire);
        if is_refused {
            continue;
        }
        let target = switches.target().clone();
        let _ = forward(&caller, &target, switches);
    }
}

fn forward(caller: &TcpStream, target: &str, switches: &Switches) -> std::io::Result<()> {
    let target = TcpStream::connect(target)?;
    let is_silent = Arc::new(AtomicBool::new(false));
    pump(
        caller.try_clone()?,
        target.try_clone()?,
        Arc::clone(&is_silent),
        Arc::clone(&switches.forwarded_bytes),
    );
    pump(
        target.try_clone()?,
        caller.try_clone()?,
        Arc::clone(&is_silent),
        Arc::clone(&switches.forwarded_bytes),
    );
    let connection = RelayedConnection {
        is_silent,
        caller: caller.try_clone()?,
        target,
    };
    switches.open_connections().push(connection);
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
                // Neither the bytes nor the end of the connection pass.
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
