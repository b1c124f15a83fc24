//! Accepts callers' connections and serves them with volo-http's router.
//!
//! This accept loop replaces volo-http's, which sets no header timeout, does not limit the number
//! of connections and cuts streams 30 s after the start of a shutdown.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;
use volo::METAINFO;
use volo::Service;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::route::Router;

use crate::caller_connection::CallerConnection;
use crate::event;
use crate::socket_options;
use crate::socket_options::KeepaliveSettings;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits on callers' connections.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerLimits {
    /// Timeout for the arrival of a complete request head.
    pub(crate) header_timeout: Duration,
    /// Maximum number of open connections. Further ones wait in the listener's backlog.
    pub(crate) max_connections: usize,
}

/// Signals for the graceful shutdown of a server for callers.
#[derive(Debug, Clone)]
pub(crate) struct CallerShutdown {
    /// Once true, connections are closed after their next answer.
    pub(crate) draining: watch::Receiver<bool>,
    /// Once true, open connections without a request are closed. Those accepted later still bring one.
    pub(crate) closing_idle: watch::Receiver<bool>,
    /// Once true, no further connection is accepted, and all without a request are closed.
    pub(crate) closing: watch::Receiver<bool>,
}

impl CallerShutdown {
    /// Starts to drain connections and stops accepting new ones on the same signal.
    pub(crate) fn immediate(closing: watch::Receiver<bool>) -> Self {
        Self {
            draining: closing.clone(),
            closing_idle: closing.clone(),
            closing,
        }
    }
}

/// Serves callers until `closing` turns true, then waits for the open connections to end.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    limits: CallerLimits,
    mut shutdown: CallerShutdown,
) {
    let router = Arc::new(router);
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let mut was_full = false;
    loop {
        let is_full = permits.available_permits() == 0;
        if is_full && !was_full {
            event!(
                ConnectionsFull,
                "max_connections={}",
                limits.max_connections
            );
        }
        was_full = is_full;
        let permit = tokio::select! {
            permit = Arc::clone(&permits).acquire_owned() => permit.expect("semaphore stays open"),
            () = wait_until_true(&mut shutdown.closing) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_true(&mut shutdown.closing) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let router = Arc::clone(&router);
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            serve_connection(stream, peer, router, limits.header_timeout, shutdown).await;
            drop(permit);
        });
    }
    drop(listener);
    let all_permits = u32::try_from(limits.max_connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all_permits).await;
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    router: Arc<Router>,
    header_timeout: Duration,
    CallerShutdown {
        draining,
        closing_idle,
        closing,
    }: CallerShutdown,
) {
    let mut closing = if *closing_idle.borrow() {
        closing
    } else {
        closing_idle
    };
    if let Err(error) = socket_options::configure(&stream, KeepaliveSettings::LONG) {
        log::debug!("socket options of caller {peer}: {error}");
    }
    let origin = CallerConnection {
        accepted: Instant::now(),
    };
    let has_chunks = Arc::new(AtomicBool::new(true));
    let caller_has_chunks = Arc::clone(&has_chunks);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(origin);
        let has_chunks = request.version() >= Version::HTTP_11;
        caller_has_chunks.store(has_chunks, Ordering::Relaxed);
        let answering = handle(Arc::clone(&router), peer, request);
        let draining = draining.clone();
        async move {
            answering
                .await
                .map(|answer| with_close(answer, *draining.borrow()))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        // A request that has arrived is served before its connection counts as idle.
        biased;
        result = &mut connection => result,
        () = wait_until_true(&mut closing) => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    match result {
        Ok(()) => return,
        Err(error) if error.is_timeout() => event!(HeadTimedOut, "peer={peer}"),
        Err(error) => log::debug!("connection of caller {peer}: {error}"),
    }
    if !has_chunks.load(Ordering::Relaxed) {
        reset(&connection.into_parts().io.into_inner(), peer);
    }
}

/// Lets an answer end its connection if the process is draining. A connection without a request is not
/// closed then, since one may be on its way.
fn with_close(mut answer: Response<Body>, is_draining: bool) -> Response<Body> {
    if is_draining {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Makes the end of a connection a reset. To a caller of HTTP/1.0, which knows no chunks, an answer
/// that is broken off by an ordinary close looks complete.
fn reset(stream: &TcpStream, peer: SocketAddr) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!("connection of caller {peer} can't be reset: {error}");
    }
}

async fn wait_until_true(signal: &mut watch::Receiver<bool>) {
    let _ = signal.wait_for(|is_set| *is_set).await;
}

async fn handle(
    router: Arc<Router>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    METAINFO
        .scope(RefCell::default(), async move {
            let mut context = ServerContext::new(Address::from(peer));
            router
                .call(&mut context, request.map(Body::from_incoming))
                .await
        })
        .await
}
