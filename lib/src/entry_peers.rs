//! The entries of the direct path as one of them takes part in them.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use rand::seq::IndexedRandom;
use serde_json::json;
use volo_http::body::Body;
use volo_http::server::route::Router;
use volo_http::server::route::get;

use crate::DaemonError;
use crate::DirectEntry;
use crate::EntryGossip;
use crate::GossipSettings;
use crate::JsonClient;
use crate::JsonError;
use crate::event;
use crate::gossip_loop::GossipLoop;
use crate::gossip_loop::KnownEntries;
use crate::listener;
use crate::protos::control::GossipReport;

const INTERVAL: Duration = Duration::from_millis(200);
/// Path at which an entry hands out the configuration in force.
const CONFIG_PATH: &str = "/v1/configuration";
/// Path at which an entry hands out the list of endpoints in use.
const ENDPOINTS_PATH: &str = "/v2/endpoints";
/// Time between two questions for the endpoints while the platform can't be heard.
const ENDPOINTS_INTERVAL: Duration = Duration::from_millis(400);
/// Time that an entry gives its own watch before it asks another entry for a configuration.
const OWN_WATCH_LEAD: Duration = Duration::from_millis(150);
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_CONFIG_BYTES: usize = 16 << 20;

/// Addresses by which an entry takes part.
#[derive(Debug, Clone)]
pub struct EntryPeersSettings {
    /// IP address and port for datagrams.
    pub gossip_address: String,
    /// IP address and port on which other entries ask for documents.
    pub control_address: String,
    /// IP address and port on which callers connect.
    pub caller_address: String,
    /// Addresses for datagrams of entries that may know others.
    pub seed_addresses: Vec<String>,
}

/// The entries of the direct path as one of them takes part in them.
#[derive(Clone)]
pub struct EntryPeers {
    entry: DirectEntry,
    caller_address: String,
    known: Arc<ArcSwap<KnownEntries>>,
}

impl EntryPeers {
    /// Joins the other entries.
    ///
    /// # Errors
    ///
    /// Fails when an address is not usable.
    pub async fn join(
        entry: &DirectEntry,
        settings: EntryPeersSettings,
    ) -> Result<Self, DaemonError> {
        let peers = Self {
            entry: entry.clone(),
            caller_address: settings.caller_address.clone(),
            known: Arc::default(),
        };
        let address = &settings.gossip_address;
        let socket = listener::datagrams(address).await?;
        let gossip = EntryGossip::new(
            GossipSettings::builder()
                .own_address(address.clone())
                .seed_addresses(settings.seed_addresses)
                .interval_ms(u64::try_from(INTERVAL.as_millis()).unwrap_or(u64::MAX))
                .build(),
        );
        let gossip_loop = GossipLoop {
            entry: entry.clone(),
            socket,
            gossip,
            interval: INTERVAL,
            word: GossipReport {
                gossip_address: address.clone(),
                incarnation: incarnation(),
                caller_address: settings.caller_address,
                control_address: settings.control_address.clone(),
                ..GossipReport::default()
            },
            known: Arc::clone(&peers.known),
        };
        tokio::spawn(gossip_loop.run());
        entry
            .serve_beside("control", &settings.control_address, peers.control_router())
            .await?;
        tokio::spawn(peers.clone().fetch_newer_configs());
        tokio::spawn(peers.clone().fetch_endpoints_while_alone());
        Ok(peers)
    }

    /// Returns the addresses of entries that take new work, this one first if it does.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<String> {
        let own = self.entry.is_ready().then(|| self.caller_address.clone());
        let known = self.known.load();
        own.into_iter()
            .chain(known.caller_addresses.iter().cloned())
            .collect()
    }

    fn control_router(&self) -> Router {
        let entry = self.entry.clone();
        let config = move || {
            let document = entry.document();
            async move { document_response(document) }
        };
        let entry = self.entry.clone();
        let endpoints = move || {
            let snapshot = entry.endpoints().snapshot();
            let document = snapshot.map(|snapshot| json!(snapshot).to_string().into());
            async move { document_response(document) }
        };
        Router::new()
            .route(CONFIG_PATH, get(config))
            .route(ENDPOINTS_PATH, get(endpoints))
    }

    /// Takes over the endpoints of others while this entry does not hear from the platform.
    async fn fetch_endpoints_while_alone(self) {
        loop {
            tokio::time::sleep(ENDPOINTS_INTERVAL).await;
            if self.entry.endpoints().follows_platform() {
                continue;
            }
            let peer = self
                .known
                .load()
                .following_at
                .choose(&mut rand::rng())
                .cloned();
            let Some(peer) = peer else {
                continue;
            };
            if let Err(error) = self.fetch_endpoints(&peer).await {
                log::debug!("endpoints of a peer: {error}");
            }
        }
    }

    async fn fetch_endpoints(&self, peer: &str) -> Result<(), JsonError> {
        let client = JsonClient::new(peer, CONNECT_TIMEOUT, MAX_CONFIG_BYTES);
        let snapshot = client.get(ENDPOINTS_PATH, FETCH_TIMEOUT).await?;
        if self.entry.endpoints().replace_from_entry(snapshot, peer) {
            event!(EndpointsFromPeer, "peer={peer}");
        }
        Ok(())
    }

    /// Takes over configurations that others have and this entry's own watch has not brought.
    async fn fetch_newer_configs(self) {
        loop {
            tokio::time::sleep(OWN_WATCH_LEAD).await;
            let Some(peer) = self.known.load().newer_config_at.clone() else {
                continue;
            };
            if let Err(error) = self.fetch_config(&peer).await {
                log::debug!("configuration of a peer: {error}");
            }
        }
    }

    async fn fetch_config(&self, peer: &str) -> Result<(), String> {
        let client = JsonClient::new(peer, CONNECT_TIMEOUT, MAX_CONFIG_BYTES);
        let fetching = client.bytes(Method::GET, CONFIG_PATH, Bytes::new(), FETCH_TIMEOUT);
        let document = fetching.await.map_err(|error| error.to_string())?;
        if self.entry.set_document(document)? {
            event!(ConfigFromPeer, "peer={peer}");
        }
        Ok(())
    }
}

/// Returns a number for this run of the process that is above those of its earlier runs, unless
/// the clock of the VM was set back.
fn incarnation() -> u64 {
    let now = std::time::SystemTime::now();
    let since_epoch = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn document_response(document: Option<Bytes>) -> Response<Body> {
    let status = if document.is_some() {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    let mut response = Response::new(Body::from(document.unwrap_or_default()));
    *response.status_mut() = status;
    response
}
