//! Client of the platform's configuration service, VM list and weight store.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use pomeloramp_proc_macros::document;

use crate::JsonClient;
use crate::JsonError;
use crate::readable_items;

const MAX_ANSWER_BYTES: usize = 64 << 20;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time allowed for the answer to a watch after its wait has ended. If none comes, the connection
/// is considered dead.
const WATCH_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const WEIGHTS_TIMEOUT: Duration = Duration::from_mins(2);

/// Value of the configuration service.
#[document]
pub struct PublishedValue {
    /// Key, for example `services/quote-draft`.
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
    /// All values, or only those that changed.
    #[serde(deserialize_with = "readable_items::deserialize")]
    pub values: Vec<PublishedValue>,
}

/// One VM of the platform's VM list.
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

/// VM list of the platform, which may be out of date.
#[document]
pub struct VmList {
    /// Live and leaving VMs.
    #[serde(deserialize_with = "readable_items::deserialize")]
    pub vms: Vec<VmRecord>,
    /// Size of the platform's answer, in bytes.
    #[serde(skip)]
    pub answer_bytes: u64,
}

/// Client of the platform at one address.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: JsonClient,
}

impl PlatformClient {
    /// Creates a client for the platform at `address`.
    #[must_use]
    pub fn new(address: &str, connect_timeout: Duration) -> Self {
        Self {
            client: JsonClient::new(address, connect_timeout, MAX_ANSWER_BYTES),
        }
    }

    /// Waits up to `wait` for values published after `revision`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time, or its answer is invalid.
    pub async fn watch(&self, revision: u64, wait: Duration) -> Result<PublishedValues, JsonError> {
        let path = format!(
            "/config/watch?after={revision}&wait_ms={}",
            wait.as_millis()
        );
        self.client.get(&path, wait + WATCH_ANSWER_TIMEOUT).await
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time, or its answer is invalid.
    pub async fn vms(&self) -> Result<VmList, JsonError> {
        let body = self
            .client
            .bytes(Method::GET, "/vms", Bytes::new(), ANSWER_TIMEOUT)
            .await?;
        let list: VmList = self.client.parse(&Method::GET, "/vms", &body)?;
        Ok(VmList {
            answer_bytes: body.len() as u64,
            ..list
        })
    }

    /// Reads the weights of one expert of one layer.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time, or nothing shows that the weights are whole.
    pub(crate) async fn weights(&self, layer: u32, expert: u32) -> Result<Bytes, JsonError> {
        let path = format!("/weights/{layer}-{expert}");
        self.client.framed_bytes(&path, WEIGHTS_TIMEOUT).await
    }
}
