//! HTTP client of an agent for its endpoint.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use pomeloramp_proc_macros::value;
use snafu::Snafu;
use tokio::net::TcpStream;

use crate::http_client;
use crate::http_client::HttpError;
use crate::protos::control::CallRequest;

const END_MARKER: &[u8] = b"[DONE]";
const EVENT_END: &[u8] = b"\n\n";
const EVENT_PREFIX: &[u8] = b"data: ";
const CRASH_PROBES: usize = 6;
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(25);
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete answer of an endpoint to a plain call.
#[value]
pub(crate) struct EndpointAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

/// Reason why an endpoint gave no complete answer.
#[derive(Debug, Snafu)]
pub(crate) enum EndpointError {
    /// No byte was written, so the endpoint did not receive the call.
    #[snafu(display("endpoint was not reached: {reason}"))]
    NotStarted {
        /// Cause of the failure.
        reason: String,
    },
    /// The answer was lost, and the call may have run.
    #[snafu(display("answer of endpoint {peer} was lost: {reason}"))]
    Lost {
        /// Address of the endpoint.
        peer: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The endpoint answered with an error status.
    #[snafu(display("endpoint {peer} answered with status {status}"))]
    Status {
        /// Address of the endpoint.
        peer: String,
        /// HTTP status.
        status: u16,
    },
}

impl From<HttpError> for EndpointError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::NotWritten { .. } => Self::NotStarted {
                reason: error.to_string(),
            },
            HttpError::Written { peer, reason, .. } => Self::Lost { peer, reason },
        }
    }
}

/// HTTP client of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointClient {
    address: String,
    connect_timeout: Duration,
    max_answer_bytes: usize,
}

impl EndpointClient {
    /// Creates a client for the endpoint at `address`.
    pub(crate) fn new(address: &str, connect_timeout: Duration, max_answer_bytes: usize) -> Self {
        Self {
            address: address.to_owned(),
            connect_timeout,
            max_answer_bytes,
        }
    }

    /// Sends a plain call once and reads its complete answer.
    pub(crate) async fn call(&self, call: &CallRequest) -> Result<EndpointAnswer, EndpointError> {
        let mut builder = Request::post(format!("/calls/{}", call.call))
            .header(HOST, &self.address)
            .header(CONTENT_TYPE, &call.content_type)
            .header("pomeloramp-organisation", &call.organisation)
            .header("pomeloramp-request-id", &call.request_id);
        if let Some(idempotent) = &call.idempotent {
            builder = builder.header("idempotency-key", &idempotent.key);
        }
        let request = builder
            .body(Full::new(Bytes::from(call.body.clone())))
            .map_err(|error| EndpointError::NotStarted {
                reason: error.to_string(),
            })?;
        let response = http_client::send(&self.address, self.connect_timeout, request).await?;
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let body = http_client::read_body(response, self.max_answer_bytes)
            .await
            .map_err(|error| self.lost(&error))?;
        Ok(EndpointAnswer {
            status,
            content_type,
            // Copied because the library's `Bytes` would keep its whole read buffer allocated for
            // as long as the answer is stored.
            body: Bytes::copy_from_slice(&body),
        })
    }

    /// Starts a streamed completion.
    pub(crate) async fn completion(&self, body: Vec<u8>) -> Result<EndpointEvents, EndpointError> {
        let request = Request::post("/v1/completions")
            .header(HOST, &self.address)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| EndpointError::NotStarted {
                reason: error.to_string(),
            })?;
        let response = http_client::send(&self.address, self.connect_timeout, request).await?;
        let status = response.status();
        if !status.is_success() {
            return Err(EndpointError::Status {
                peer: self.address.clone(),
                status: status.as_u16(),
            });
        }
        Ok(EndpointEvents {
            peer: self.address.clone(),
            body: response.into_body(),
            buffer: BytesMut::new(),
        })
    }

    /// Reads the endpoint's load report.
    pub(crate) async fn load(&self) -> Result<Bytes, EndpointError> {
        let request = Request::get("/load")
            .header(HOST, &self.address)
            .body(Full::new(Bytes::new()))
            .expect("the load path is a valid URI");
        let response = http_client::send(&self.address, self.connect_timeout, request).await?;
        http_client::read_body(response, MAX_EVENT_BYTES)
            .await
            .map_err(|error| self.lost(&error))
    }

    /// Returns whether the endpoint's address refuses connections, since no process listens there.
    ///
    /// The connections of a crashing process break shortly before its listener closes, so this
    /// probes several times and takes up to 150 ms for an endpoint that is alive.
    pub(crate) async fn has_crashed(&self) -> bool {
        for _ in 0..CRASH_PROBES {
            if self.refuses_connections().await {
                return true;
            }
            tokio::time::sleep(CRASH_PROBE_INTERVAL).await;
        }
        false
    }

    async fn refuses_connections(&self) -> bool {
        let connecting = TcpStream::connect(&self.address);
        match tokio::time::timeout(self.connect_timeout, connecting).await {
            Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Returns the error for an endpoint that accepted a call and did not answer within `timeout`.
    pub(crate) fn timeout_error(&self, timeout: Duration) -> EndpointError {
        self.lost(&format!("no answer within {} ms", timeout.as_millis()))
    }

    fn lost(&self, reason: &impl ToString) -> EndpointError {
        EndpointError::Lost {
            peer: self.address.clone(),
            reason: reason.to_string(),
        }
    }
}

/// Stream of the server-sent events of one completion.
pub(crate) struct EndpointEvents {
    peer: String,
    body: Incoming,
    buffer: BytesMut,
}

impl EndpointEvents {
    /// Returns the next event's data, or `None` after the end marker.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks or ends without its end marker, or if an event exceeds the size
    /// limit.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, EndpointError> {
        loop {
            if let Some(data) = self.take_event() {
                return Ok((data != END_MARKER).then_some(data));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(self.lost("event is too long"));
            }
            let frame = self
                .body
                .frame()
                .await
                .ok_or_else(|| self.lost("stream ended without its end marker"))?
                .map_err(|error| self.lost(&error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    fn take_event(&mut self) -> Option<Bytes> {
        let end = self
            .buffer
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        let event = self.buffer.split_to(end + EVENT_END.len()).freeze();
        let event = event.slice(..end);
        let start = if event.starts_with(EVENT_PREFIX) {
            EVENT_PREFIX.len()
        } else {
            0
        };
        Some(event.slice(start..))
    }

    fn lost(&self, reason: &str) -> EndpointError {
        EndpointError::Lost {
            peer: self.peer.clone(),
            reason: reason.to_owned(),
        }
    }
}
