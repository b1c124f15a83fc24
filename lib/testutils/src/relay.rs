//! A loopback relay that can cut connections or let them go silent.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const BUFFER_BYTES: usize = 16 << 10;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Forwards connections from one loopback address to another.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    switches: Arc<Switches>,
}

#[derive(Debug, Default)]
struct Switches {
    is_cut: AtomicBool,
    is_ended: AtomicBool,
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
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let switches = Arc::new(Switches::default());
        let shared = Arc::clone(&switches);
        let target = target.to_owned();
        thread::spawn(move || accept_connections(&listener, &target, &shared));
        Self { address, switches }
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

    /// Accepts connections again.
    pub fn mend(&self) {
        self.switches.is_cut.store(false, Ordering::Release);
    }

    /// Tells whether a connection has been forwarded.
    #[must_use]
    pub fn has_connections(&self) -> bool {
        let open = self.switches.open.lock();
        !open.unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    /// Returns the bytes forwarded in both directions so far.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.switches.forwarded_bytes.load(Ordering::Acquire)
    }

    /// Lets the open connections go silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        let open = self
            .switches
            .open
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for connection in open.iter() {
            connection.is_silent.store(true, Ordering::Release);
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
    fn close_all(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for connection in open.drain(..) {
            let _ = connection.caller.shutdown(Shutdown::Both);
            let _ = connection.target.shutdown(Shutdown::Both);
        }
    }
}

fn accept_connections(listener: &TcpListener, target: &str, switches: &Arc<Switches>) {
    for caller in listener.incoming() {
        if switches.is_ended.load(Ordering::Acquire) {
            return;
        }
        let Ok(caller) = caller else { continue };
        if switches.is_cut.load(Ordering::Acquire) {
            continue;
        }
        let _ = forward(&caller, target, switches);
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
    let mut open = switches.open.lock().unwrap_or_else(PoisonError::into_inner);
    open.push(connection);
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
