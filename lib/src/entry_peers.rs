//! Exchange of state between the entries of the direct path.

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

use crate::AddressAnswer;
use crate::DaemonError;
use crate::DirectEntry;
use crate::EntryGossip;
use crate::GossipSettings;
use crate::JsonClient;
use crate::JsonError;
use crate::as_ms::as_ms;
use crate::drain_policy::KEPT_LIFETIMES;
use crate::event;
use crate::gossip_loop::GossipLoop;
use crate::gossip_loop::GossipView;
use crate::listener;
use crate::protos::control::GossipReport;

const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which entries may still name one that has begun to drain: its report of that may be lost once.
const LEAVING_NOTICE_TIME: Duration = GOSSIP_INTERVAL;
/// Path at which an entry serves the configuration in force.
const CONFIG_PATH: &str = "/v1/configuration";
/// Path at which an entry serves the list of endpoints in use.
const ENDPOINTS_PATH: &str = "/v3/endpoints";
/// Path at which an entry serves what it knows of endpoints that have left.
const DEPARTED_PATH: &str = "/v3/departed-endpoints";
/// Time between two requests for another entry's endpoints while the platform can't be read, or for
/// those that have left while the platform has just been restored.
const ENDPOINTS_INTERVAL: Duration = Duration::from_millis(400);
/// Time that an entry gives its own watch to deliver a newer configuration before it requests the
/// configuration from another entry.
const OWN_WATCH_LEAD: Duration = Duration::from_millis(150);
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_CONFIG_BYTES: usize = 16 << 20;

/// Addresses through which an entry exchanges state with the others.
#[derive(Debug, Clone)]
pub struct EntryPeersSettings {
    /// IP address and port for gossip datagrams.
    pub gossip_address: String,
    /// IP address and port on which the entry serves its configuration and endpoints to others.
    pub control_address: String,
    /// IP address and port on which callers connect.
    pub caller_address: String,
    /// Gossip addresses of entries from which the others can be discovered.
    pub seed_addresses: Vec<String>,
}

/// The other entries of the direct path.
///
/// Entries find each other by gossip, and fetch newer configurations and, during an outage of the
/// platform, endpoint lists from each other.
#[derive(Clone)]
pub struct EntryPeers {
    entry: DirectEntry,
    caller_address: String,
    view: Arc<ArcSwap<GossipView>>,
}

impl EntryPeers {
    /// Starts to exchange state with the other entries.
    ///
    /// # Errors
    ///
    /// Fails if an address is invalid or can't be bound.
    pub async fn join(
        entry: &DirectEntry,
        settings: EntryPeersSettings,
    ) -> Result<Self, DaemonError> {
        let peers = Self {
            entry: entry.clone(),
            caller_address: settings.caller_address.clone(),
            view: Arc::default(),
        };
        let address = &settings.gossip_address;
        let socket = listener::bind_datagram_socket(address).await?;
        let gossip = EntryGossip::new(
            GossipSettings::builder()
                .own_address(address.clone())
                .seed_addresses(settings.seed_addresses)
                .interval_ms(as_ms(GOSSIP_INTERVAL))
                .build(),
        );
        let gossip_loop = GossipLoop {
            entry: entry.clone(),
            socket,
            gossip,
            interval: GOSSIP_INTERVAL,
            report: GossipReport {
                gossip_address: address.clone(),
                incarnation: incarnation(),
                caller_address: settings.caller_address,
                control_address: settings.control_address.clone(),
                ..GossipReport::default()
            },
            view: Arc::clone(&peers.view),
        };
        tokio::spawn(gossip_loop.run());
        entry
            .serve_interface("control", &settings.control_address, peers.control_router())
            .await?;
        tokio::spawn(peers.clone().fetch_newer_configs());
        tokio::spawn(peers.clone().fetch_endpoints_during_outage());
        tokio::spawn(peers.clone().fetch_departed_after_restore());
        Ok(peers)
    }

    /// Returns the caller addresses of the entries that take new work, this one first if it does. If none
    /// does, this one is named while it drains and takes all calls, for as long as it will.
    #[must_use]
    pub fn address_answer(&self) -> AddressAnswer {
        let view = self.view.load();
        let others = view.caller_addresses.iter().cloned();
        let own = self.entry.is_ready().then(|| self.caller_address.clone());
        let addresses: Vec<String> = own.into_iter().chain(others).collect();
        if addresses.is_empty()
            && let Some(lifetime) = self.entry.draining_address_lifetime()
        {
            return AddressAnswer {
                addresses: vec![self.caller_address.clone()],
                lifetime_ms: as_ms(lifetime),
            };
        }
        AddressAnswer {
            addresses,
            lifetime_ms: as_ms(self.address_lifetime()),
        }
    }

    /// Returns the lifetime of an answer with the addresses of entries that may already have begun to
    /// drain: callers that keep it still come while those take all calls.
    fn address_lifetime(&self) -> Duration {
        let notice_time = LEAVING_NOTICE_TIME / KEPT_LIFETIMES;
        self.entry.address_lifetime().saturating_sub(notice_time)
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
        let entry = self.entry.clone();
        let departed = move || {
            let document = json!(entry.endpoints().departed()).to_string();
            async move { document_response(Some(document.into())) }
        };
        Router::new()
            .route(CONFIG_PATH, get(config))
            .route(ENDPOINTS_PATH, get(endpoints))
            .route(DEPARTED_PATH, get(departed))
    }

    /// Fetches the endpoint list of another entry while this entry can't read the platform.
    async fn fetch_endpoints_during_outage(self) {
        loop {
            tokio::time::sleep(ENDPOINTS_INTERVAL).await;
            if self.entry.endpoints().follows_platform() {
                continue;
            }
            let Some(peer) = self.platform_follower() else {
                continue;
            };
            if let Err(error) = self.fetch_endpoints(&peer).await {
                log::debug!("cannot fetch endpoints from a peer: {error}");
            }
        }
    }

    /// Fetches what other entries know of endpoints that have left, while the platform has just been
    /// restored from a copy that may still list them.
    async fn fetch_departed_after_restore(self) {
        loop {
            tokio::time::sleep(ENDPOINTS_INTERVAL).await;
            if !self.entry.endpoints().is_settling() {
                continue;
            }
            let Some(peer) = self.platform_follower() else {
                continue;
            };
            let client = JsonClient::new(&peer, CONNECT_TIMEOUT, MAX_CONFIG_BYTES);
            match client.get(DEPARTED_PATH, FETCH_TIMEOUT).await {
                Ok(departed) => self.entry.endpoints().merge_departed(departed),
                Err(error) => log::debug!("cannot fetch departed endpoints from a peer: {error}"),
            }
        }
    }

    /// Returns the control address of a random entry that can read the platform.
    fn platform_follower(&self) -> Option<String> {
        let view = self.view.load();
        let followers = &view.platform_follower_addresses;
        followers.choose(&mut rand::rng()).cloned()
    }

    async fn fetch_endpoints(&self, peer: &str) -> Result<(), JsonError> {
        let client = JsonClient::new(peer, CONNECT_TIMEOUT, MAX_CONFIG_BYTES);
        let snapshot = client.get(ENDPOINTS_PATH, FETCH_TIMEOUT).await?;
        if self.entry.endpoints().replace_from_entry(snapshot, peer) {
            event!(EndpointsFromPeer, "peer={peer}");
        }
        Ok(())
    }

    /// Fetches newer configurations of other entries that this entry's own watch has not delivered.
    async fn fetch_newer_configs(self) {
        loop {
            tokio::time::sleep(OWN_WATCH_LEAD).await;
            let Some(peer) = self.view.load().newer_config_address.clone() else {
                continue;
            };
            if let Err(error) = self.fetch_config(&peer).await {
                log::debug!("cannot fetch the configuration from a peer: {error}");
            }
        }
    }

    async fn fetch_config(&self, peer: &str) -> Result<(), String> {
        let client = JsonClient::new(peer, CONNECT_TIMEOUT, MAX_CONFIG_BYTES);
        let response = client.bytes(Method::GET, CONFIG_PATH, Bytes::new(), FETCH_TIMEOUT);
        let document = response.await.map_err(|error| error.to_string())?;
        if self.entry.set_document(document)? {
            event!(ConfigFromPeer, "peer={peer}");
        }
        Ok(())
    }
}

/// Returns the incarnation of this run of the process, which is its start in milliseconds of the
/// Unix epoch. It is higher than those of earlier runs, unless the VM's clock was set back.
fn incarnation() -> u64 {
    let now = std::time::SystemTime::now();
    let since_epoch = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    as_ms(since_epoch)
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
