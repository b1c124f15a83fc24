//! Accepts callers' connections and serves them with volo-http's router.
//!
//! The accept loop is our own because volo-http's sets no header timeout, does not bound the
//! connections and ends streams 30 s after a shutdown began.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use volo::METAINFO;
use volo::Service;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::route::Router;

use crate::event;
use crate::socket_options;
use crate::socket_options::KeepaliveSettings;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bounds of the callers' side.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerLimits {
    /// Time for a whole request head.
    pub(crate) header_timeout: Duration,
    /// Connections served at once; more wait in the listener's backlog.
    pub(crate) max_connections: usize,
}

/// When a server of callers lets go of its connections.
#[derive(Debug, Clone)]
pub(crate) struct CallerClosing {
    /// Once true, each connection ends after the request that it is at, and idle ones at once.
    pub(crate) draining: watch::Receiver<bool>,
    /// Once true, no further connection is accepted either.
    pub(crate) closing: watch::Receiver<bool>,
}

impl CallerClosing {
    /// Drains and closes at the same moment.
    pub(crate) fn at_once(closing: watch::Receiver<bool>) -> Self {
        Self {
            draining: closing.clone(),
            closing,
        }
    }
}

/// Serves callers until told to close, then lets the open connections finish.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    limits: CallerLimits,
    CallerClosing {
        draining,
        mut closing,
    }: CallerClosing,
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
            () = closed(&mut closing) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(&mut closing) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accept a caller: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let router = Arc::clone(&router);
        let draining = draining.clone();
        tokio::spawn(async move {
            serve_connection(stream, peer, router, limits.header_timeout, draining).await;
            drop(permit);
        });
    }
    drop(listener);
    let all = u32::try_from(limits.max_connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all).await;
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    router: Arc<Router>,
    header_timeout: Duration,
    mut draining: watch::Receiver<bool>,
) {
    if let Err(error) = socket_options::configure(&stream, KeepaliveSettings::LONG) {
        log::debug!("socket options of caller {peer}: {error}");
    }
    let service = service_fn(move |request| handle(Arc::clone(&router), peer, request));
    // A connection that comes while draining is served one request, since its caller holds an
    // address that was given out before.
    let is_late = *draining.borrow();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .keep_alive(!is_late)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closed(&mut draining), if !is_late => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    match result {
        Ok(()) => {}
        Err(error) if error.is_timeout() => event!(HeadTimedOut, "peer={peer}"),
        Err(error) => log::debug!("connection of caller {peer}: {error}"),
    }
}

async fn closed(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
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
