//! HTTP client that reports whether any byte of a failed request was written.
//!
//! A pooled client hides whether a request was written before its connection failed. This client
//! counts the bytes written to each connection, so that a request of which nothing was written can
//! be recognised.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
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

use crate::socket_options;
use crate::socket_options::KeepaliveSettings;

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
    connection.send(request).await
}

/// Connection that can send several requests, one after another.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    peer: String,
    sender: http1::SendRequest<Full<Bytes>>,
    written_bytes: Arc<AtomicU64>,
}

impl HttpConnection {
    /// Connects to `peer`.
    pub(crate) async fn open(peer: &str, connect_timeout: Duration) -> Result<Self, HttpError> {
        let stream = connect(peer, connect_timeout).await?;
        let written_bytes = Arc::new(AtomicU64::new(0));
        let counting = CountingStream {
            inner: stream,
            written_bytes: Arc::clone(&written_bytes),
        };
        let (sender, connection) =
            http1::handshake(TokioIo::new(counting))
                .await
                .map_err(|error| HttpError::NotWritten {
                    step: "handshake with",
                    peer: peer.to_owned(),
                    reason: error.to_string(),
                })?;
        tokio::spawn(connection);
        Ok(Self {
            peer: peer.to_owned(),
            sender,
            written_bytes,
        })
    }

    /// Returns whether the connection can send another request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
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
        let before_bytes = self.written_bytes.load(Ordering::Acquire);
        let sent = self.sender.send_request(request).await;
        sent.map_err(|error| {
            let step = "request to";
            let peer = self.peer.clone();
            let reason = error.to_string();
            if self.written_bytes.load(Ordering::Acquire) == before_bytes {
                HttpError::NotWritten { step, peer, reason }
            } else {
                HttpError::Written { step, peer, reason }
            }
        })
    }
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

/// Stream that counts the bytes written to it.
struct CountingStream {
    inner: TcpStream,
    written_bytes: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
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
            self.written_bytes.fetch_add(count as u64, Ordering::AcqRel);
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
