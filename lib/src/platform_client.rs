//! Reads the platform's configuration service and VM list.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use pomeloramp_proc_macros::document;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::http_client;
use crate::http_client::HttpError;

const MAX_ANSWER_BYTES: usize = 64 << 20;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const WEIGHTS_TIMEOUT: Duration = Duration::from_mins(2);

/// Why the platform gave no usable answer.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The exchange failed.
    #[snafu(display("platform {peer}: {source}"))]
    Exchange {
        /// Address of the platform.
        peer: String,
        /// What failed.
        source: HttpError,
    },
    /// The platform answered with an error status.
    #[snafu(display("platform {peer} answered {path} with status {status}"))]
    Status {
        /// Address of the platform.
        peer: String,
        /// Path that was read.
        path: String,
        /// HTTP status.
        status: u16,
    },
    /// The answer could not be read or parsed.
    #[snafu(display("platform {peer} answered {path} with an unreadable body: {reason}"))]
    Body {
        /// Address of the platform.
        peer: String,
        /// Path that was read.
        path: String,
        /// What was wrong.
        reason: String,
    },
    /// No answer came in time.
    #[snafu(display("platform {peer} did not answer {path} within {timeout_ms} ms"))]
    Timeout {
        /// Address of the platform.
        peer: String,
        /// Path that was read.
        path: String,
        /// How long was waited.
        timeout_ms: u128,
    },
}

/// A value of the configuration service.
#[document]
pub struct PublishedValue {
    /// Key, such as `services/quote-draft`.
    pub key: String,
    /// Revision at which the value was published.
    pub revision: u64,
    /// Text of the value; empty when it was deleted.
    pub value: String,
}

/// Values of the configuration service as of one revision.
#[document]
pub struct PublishedValues {
    /// Revision of the whole service.
    pub revision: u64,
    /// Values, all of them or those that changed.
    pub values: Vec<PublishedValue>,
}

/// One VM of the platform's list.
#[document]
#[serde(default)]
#[derive(Default)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm_name: String,
    /// Region of the VM.
    pub region: String,
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// `entry` or `endpoint`.
    pub role: String,
    /// Address for callers; empty for endpoints.
    pub caller_address: String,
    /// Address for other pomeloramp processes.
    pub peer_address: String,
    /// Service of an endpoint; empty for entries.
    pub service: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The platform's list of VMs, which lags behind reality.
#[document]
pub struct VmList {
    /// Live and leaving VMs.
    pub vms: Vec<VmRecord>,
    /// Bytes of the platform's answer.
    #[serde(skip)]
    pub answer_bytes: u64,
}

/// Reads from one platform address.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    address: String,
    connect_timeout: Duration,
}

impl PlatformClient {
    /// Creates a client for the platform at `address`.
    #[must_use]
    pub fn new(address: &str, connect_timeout: Duration) -> Self {
        Self {
            address: address.to_owned(),
            connect_timeout,
        }
    }

    /// Waits up to `wait` for values published after `revision`.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down or answers nonsense.
    pub async fn watch(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<PublishedValues, PlatformError> {
        let path = format!(
            "/config/watch?after={revision}&wait_ms={}",
            wait.as_millis()
        );
        let body = self.get(&path, wait + ANSWER_TIMEOUT).await?;
        self.parse(&path, &body)
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down or answers nonsense.
    pub async fn vms(&self) -> Result<VmList, PlatformError> {
        let body = self.get("/vms", ANSWER_TIMEOUT).await?;
        let list: VmList = self.parse("/vms", &body)?;
        Ok(VmList {
            answer_bytes: body.len() as u64,
            ..list
        })
    }

    /// Reads the weights of one expert of one layer.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down or too slow.
    pub(crate) async fn weights(&self, layer: u32, expert: u32) -> Result<Bytes, PlatformError> {
        let path = format!("/weights/{layer}-{expert}");
        self.get(&path, WEIGHTS_TIMEOUT).await
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Bytes, PlatformError> {
        tokio::time::timeout(timeout, self.get_unbounded(path))
            .await
            .map_err(|_| PlatformError::Timeout {
                peer: self.address.clone(),
                path: path.to_owned(),
                timeout_ms: timeout.as_millis(),
            })?
    }

    async fn get_unbounded(&self, path: &str) -> Result<Bytes, PlatformError> {
        let request = Request::get(path)
            .header(http::header::HOST, &self.address)
            .body(Full::new(Bytes::new()))
            .expect("platform paths are valid URIs");
        let response = http_client::send(&self.address, self.connect_timeout, request)
            .await
            .map_err(|source| PlatformError::Exchange {
                peer: self.address.clone(),
                source,
            })?;
        let status = response.status();
        if !status.is_success() {
            return Err(PlatformError::Status {
                peer: self.address.clone(),
                path: path.to_owned(),
                status: status.as_u16(),
            });
        }
        http_client::read_body(response, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| self.body_error(path, error.to_string()))
    }

    fn parse<T: DeserializeOwned>(&self, path: &str, body: &[u8]) -> Result<T, PlatformError> {
        serde_json::from_slice(body).map_err(|error| self.body_error(path, error.to_string()))
    }

    fn body_error(&self, path: &str, reason: String) -> PlatformError {
        PlatformError::Body {
            peer: self.address.clone(),
            path: path.to_owned(),
            reason,
        }
    }
}
