//! HTTP client for JSON documents of one server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::answer_framing::AnswerFraming;
use crate::http_client;
use crate::http_client::HttpConnection;
use crate::http_client::HttpError;

/// Error for a request without a valid JSON document.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// The exchange failed; the request may have been executed.
    #[snafu(display("{step} {peer}: {source}"))]
    Exchange {
        /// Method and path of the request, as the start of the error text.
        step: String,
        /// Address of the peer.
        peer: String,
        /// Error of the HTTP client.
        source: HttpError,
    },
    /// The peer answered with an error status.
    #[snafu(display("{step} {peer}: status {status}"))]
    Status {
        /// Method and path of the request, as the start of the error text.
        step: String,
        /// Address of the peer.
        peer: String,
        /// HTTP status.
        status: u16,
    },
    /// The answer could not be read or parsed.
    #[snafu(display("{step} {peer}: unreadable body: {reason}"))]
    Body {
        /// Method and path of the request, as the start of the error text.
        step: String,
        /// Address of the peer.
        peer: String,
        /// Reason why the body is unusable.
        reason: String,
    },
    /// No answer came in time; the request may have been executed.
    #[snafu(display("{step} {peer}: no answer within {timeout_ms} ms"))]
    Timeout {
        /// Method and path of the request, as the start of the error text.
        step: String,
        /// Address of the peer.
        peer: String,
        /// Timeout, in milliseconds.
        timeout_ms: u128,
    },
}

impl JsonError {
    /// Returns whether the request timed out.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::Timeout { .. })
    }

    /// Returns the error status of the peer's answer, if it answered with one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Status { status, .. } => Some(*status),
            Self::Exchange { .. } | Self::Body { .. } | Self::Timeout { .. } => None,
        }
    }
}

/// Maximum number of idle connections that a client keeps.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// HTTP client for JSON documents of one server. Each request opens a new connection unless
/// connection reuse is enabled.
#[derive(Debug, Clone)]
pub struct JsonClient {
    address: String,
    connect_timeout: Duration,
    max_answer_bytes: usize,
    /// Idle connections; `None` when connections are not reused.
    idle_connections: Option<Arc<Mutex<Vec<HttpConnection>>>>,
}

impl JsonClient {
    /// Creates a client of the peer at `address`, an IP address and port.
    #[must_use]
    pub fn new(address: &str, connect_timeout: Duration, max_answer_bytes: usize) -> Self {
        Self {
            address: address.to_owned(),
            connect_timeout,
            max_answer_bytes,
            idle_connections: None,
        }
    }

    /// Reuses connections for later requests; for a peer that gets many requests per second.
    #[must_use]
    pub fn with_connection_reuse(mut self) -> Self {
        self.idle_connections = Some(Arc::default());
        self
    }

    /// Reads the document at `path`.
    ///
    /// # Errors
    ///
    /// Fails when no valid document is received within `timeout`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, JsonError> {
        let body = self.bytes(Method::GET, path, Bytes::new(), timeout).await?;
        self.parse(&Method::GET, path, &body)
    }

    /// Reads the document at `path`, with the headers of the answer. Bytes that are not UTF-8 are replaced,
    /// so that one string of the document does not make all of it unreadable.
    ///
    /// # Errors
    ///
    /// Fails when no valid document is received within `timeout`.
    pub async fn get_with_headers<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<(HeaderMap, T), JsonError> {
        let answer = self.answer(Method::GET, path, Bytes::new(), timeout);
        let (headers, body) = answer.await?;
        let body = String::from_utf8_lossy(&body);
        Ok((headers, self.parse(&Method::GET, path, body.as_bytes())?))
    }

    /// Sends `body` to `path` and returns the document in the answer.
    ///
    /// # Errors
    ///
    /// Fails when no valid document is received within `timeout`; the request may have been
    /// executed.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<T, JsonError> {
        let answer = self.bytes(method.clone(), path, body, timeout).await?;
        self.parse(&method, path, &answer)
    }

    /// Sends a request and returns the body of a successful answer.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer with a success status is received within `timeout`.
    pub async fn bytes(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, JsonError> {
        let (_, body) = self.answer(method, path, body, timeout).await?;
        Ok(body)
    }

    /// Reads a document whose content does not show whether it is whole.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer with a success status is received within `timeout`, or when
    /// nothing but the end of the connection marks the end of the answer.
    pub async fn framed_bytes(&self, path: &str, timeout: Duration) -> Result<Bytes, JsonError> {
        let answer = self.answer(Method::GET, path, Bytes::new(), timeout);
        let (headers, body) = answer.await?;
        if AnswerFraming::of(&headers) == AnswerFraming::Connection {
            return Err(JsonError::Body {
                step: step(&Method::GET, path),
                peer: self.address.clone(),
                reason: "nothing shows that the answer is whole".to_owned(),
            });
        }
        Ok(body)
    }

    /// Sends a request and returns headers and body of a successful answer.
    async fn answer(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(HeaderMap, Bytes), JsonError> {
        let step = step(&method, path);
        let answer = self.exchange(method, path, body);
        let answer = tokio::time::timeout(timeout, answer).await;
        answer.unwrap_or_else(|_| {
            Err(JsonError::Timeout {
                step,
                peer: self.address.clone(),
                timeout_ms: timeout.as_millis(),
            })
        })
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(HeaderMap, Bytes), JsonError> {
        let step = step(&method, path);
        let peer = self.address.clone();
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, &self.address);
        if !body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        let request = match request.body(Full::new(body)) {
            Ok(request) => request,
            Err(error) => {
                let reason = error.to_string();
                return Err(JsonError::Body { step, peer, reason });
            }
        };
        let (connection, response) = match self.request(request).await {
            Ok(connection_and_response) => connection_and_response,
            Err(source) => return Err(JsonError::Exchange { step, peer, source }),
        };
        let status = response.status();
        if !status.is_success() {
            let status = status.as_u16();
            return Err(JsonError::Status { step, peer, status });
        }
        let headers = response.headers().clone();
        let body = http_client::read_body(response, self.max_answer_bytes).await;
        let body = body.map_err(|error| {
            let reason = error.to_string();
            JsonError::Body { step, peer, reason }
        })?;
        self.keep_connection(connection);
        Ok((headers, body))
    }

    /// Sends a request over an idle connection, or over a new one if no idle connection is usable.
    async fn request(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(HttpConnection, Response<Incoming>), HttpError> {
        while let Some(mut connection) = self.take_idle_connection() {
            if !connection.is_ready() {
                continue;
            }
            match connection.send(request.clone()).await {
                Ok(response) => return Ok((connection, response)),
                Err(HttpError::NotWritten { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        let mut connection = HttpConnection::open(&self.address, self.connect_timeout).await?;
        let response = connection.send(request).await?;
        Ok((connection, response))
    }

    fn take_idle_connection(&self) -> Option<HttpConnection> {
        let idle = self.idle_connections.as_ref()?.lock();
        idle.unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn keep_connection(&self, connection: HttpConnection) {
        let Some(idle) = &self.idle_connections else {
            return;
        };
        let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Parses the body of an answer.
    pub(crate) fn parse<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<T, JsonError> {
        serde_json::from_slice(body).map_err(|error| JsonError::Body {
            step: step(method, path),
            peer: self.address.clone(),
            reason: error.to_string(),
        })
    }
}

fn step(method: &Method, path: &str) -> String {
    format!("{method} {path} at")
}
