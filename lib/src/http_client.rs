//! HTTP client that reports whether any byte of a failed request was written.
//!
//! A pooled client hides whether a request was written before its connection failed. This client
//! counts the bytes written to each connection, so that a request of which nothing was written can
//! be recognised.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::socket_options;
use crate::socket_options::KeepaliveSettings;

/// Most bytes that a peer may send before a response head is complete. More than the library
/// buffers, so that a body which follows its head at once is not cut.
const MAX_UNANSWERED_BYTES: u64 = 1 << 20;
/// Lowest status of a final answer; those below are of interim ones.
const MIN_FINAL_STATUS: u16 = 200;
/// Highest status that HTTP defines.
const MAX_STATUS: u16 = 599;

/// Error for a request without a response.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The connection failed before any byte of the request was written.
    #[snafu(display("{step} {peer}: {reason}; nothing was written"))]
    NotWritten {
        /// Step that failed.
        step: &'static str,
        /// Address of the peer.
        peer: String,
        /// Error of the operating system or the library.
        reason: String,
    },
    /// The connection failed after part of the request was written.
    #[snafu(display("{step} {peer}: {reason}"))]
    Written {
        /// Step that failed.
        step: &'static str,
        /// Address of the peer.
        peer: String,
        /// Error of the operating system or the library.
        reason: String,
    },
}

/// Sends one request to `peer` over a new connection.
///
/// Dropping the response's body closes the connection.
///
/// # Errors
///
/// The error says whether any byte of the request was written.
pub(crate) async fn send(
    peer: &str,
    connect_timeout: Duration,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, HttpError> {
    let mut connection = HttpConnection::open(peer, connect_timeout).await?;
    let response = connection.send(request).await?;
    connection.task.detach();
    Ok(response)
}

/// Connection that can send several requests, one after another.
///
/// When it is dropped, a request that has no response head yet is aborted.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    peer: String,
    sender: http1::SendRequest<Full<Bytes>>,
    counters: Arc<StreamCounters>,
    task: ConnectionTask,
}

/// Counters that a connection shares with its stream.
#[derive(Debug, Default)]
struct StreamCounters {
    written_bytes: AtomicU64,
    /// Bytes that were read since the last request was sent.
    read_bytes: AtomicU64,
    /// Whether a request was sent that has no response head yet.
    is_waiting: AtomicBool,
}

impl StreamCounters {
    fn begin_request(&self) {
        self.read_bytes.store(0, Ordering::Release);
        self.is_waiting.store(true, Ordering::Release);
    }

    fn end_wait(&self) {
        self.is_waiting.store(false, Ordering::Release);
    }

    /// Returns whether the peer has sent too much without completing a response head.
    fn is_read_limit_reached(&self) -> bool {
        self.is_waiting.load(Ordering::Acquire)
            && self.read_bytes.load(Ordering::Acquire) > MAX_UNANSWERED_BYTES
    }
}

/// The task that drives a connection; it is aborted on drop unless it was detached.
///
/// The task does not notice that its request was dropped while a peer keeps sending bytes that
/// never become a response head.
#[derive(Debug)]
struct ConnectionTask {
    handle: Option<AbortHandle>,
}

impl ConnectionTask {
    /// Lets the task run until the response body has been read or dropped.
    fn detach(&mut self) {
        self.handle = None;
    }
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        if let Some(handle) = &self.handle {
            handle.abort();
        }
    }
}

impl HttpConnection {
    /// Connects to `peer`.
    pub(crate) async fn open(peer: &str, connect_timeout: Duration) -> Result<Self, HttpError> {
        let stream = connect(peer, connect_timeout).await?;
        let counters: Arc<StreamCounters> = Arc::default();
        let counting = CountingStream {
            inner: stream,
            counters: Arc::clone(&counters),
        };
        let (sender, connection) =
            http1::handshake(TokioIo::new(counting))
                .await
                .map_err(|error| HttpError::NotWritten {
                    step: "handshake with",
                    peer: peer.to_owned(),
                    reason: error.to_string(),
                })?;
        let task = tokio::spawn(connection);
        Ok(Self {
            peer: peer.to_owned(),
            sender,
            counters,
            task: ConnectionTask {
                handle: Some(task.abort_handle()),
            },
        })
    }

    /// Returns whether the connection can send another request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    fn written_bytes(&self) -> u64 {
        self.counters.written_bytes.load(Ordering::Acquire)
    }

    /// Sends a request; the connection is ready again once the response's body has been read.
    ///
    /// # Errors
    ///
    /// The error says whether any byte of the request was written.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let before_bytes = self.written_bytes();
        self.counters.begin_request();
        let sent = self.sender.send_request(request).await;
        self.counters.end_wait();
        let step = "request to";
        let peer = self.peer.clone();
        match sent {
            Ok(response) if is_final(response.status()) => Ok(response),
            Ok(response) => {
                let reason = format!("status {} of no final answer", response.status().as_u16());
                Err(HttpError::Written { step, peer, reason })
            }
            Err(error) if self.written_bytes() == before_bytes => {
                let reason = error.to_string();
                Err(HttpError::NotWritten { step, peer, reason })
            }
            Err(error) => {
                let reason = error.to_string();
                Err(HttpError::Written { step, peer, reason })
            }
        }
    }
}

/// Returns whether a status is one of a final answer. No request asks for another protocol.
fn is_final(status: StatusCode) -> bool {
    (MIN_FINAL_STATUS..=MAX_STATUS).contains(&status.as_u16())
}

/// Reads the body of a response, up to `max_bytes`.
///
/// # Errors
///
/// Fails when the connection fails or the body is larger.
pub(crate) async fn read_body(
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
    let body = Limited::new(response.into_body(), max_bytes);
    Ok(body.collect().await?.to_bytes())
}

/// Returns whether a connection to `peer` can be opened within `timeout`.
pub(crate) async fn is_listening(peer: &str, timeout: Duration) -> bool {
    connect(peer, timeout).await.is_ok()
}

async fn connect(peer: &str, timeout: Duration) -> Result<TcpStream, HttpError> {
    let not_written = |reason: String| HttpError::NotWritten {
        step: "connect to",
        peer: peer.to_owned(),
        reason,
    };
    let stream = tokio::time::timeout(timeout, TcpStream::connect(peer))
        .await
        .map_err(|_| not_written(format!("timeout after {} ms", timeout.as_millis())))?
        .map_err(|error| not_written(error.to_string()))?;
    socket_options::configure(&stream, KeepaliveSettings::SHORT)
        .map_err(|error| not_written(error.to_string()))?;
    Ok(stream)
}

/// Stream that counts its bytes, and fails when the peer sends too many without a response head.
struct CountingStream {
    inner: TcpStream,
    counters: Arc<StreamCounters>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.counters.is_read_limit_reached() {
            let reason = "too many bytes without a response head";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read_bytes = (buffer.filled().len() - before) as u64;
        self.counters
            .read_bytes
            .fetch_add(read_bytes, Ordering::AcqRel);
        result
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(context, buffer);
        if let Poll::Ready(Ok(count)) = result {
            self.counters
                .written_bytes
                .fetch_add(count as u64, Ordering::AcqRel);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
