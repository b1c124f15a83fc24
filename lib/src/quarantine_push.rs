//! Tells peers at once of content that crashed an endpoint.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IteratorRandom;
use tonic::Request;

use crate::agent_channels::AgentChannels;
use crate::protos::control::ExchangeRequest;
use crate::protos::control::peer_client::PeerClient;
use crate::shared_quarantine::SharedQuarantine;

const PUSH_TIMEOUT: Duration = Duration::from_secs(1);
const PEERS_OF_ONE_PUSH: usize = 16;
const PEER_REMEMBERED: Duration = Duration::from_mins(1);

/// Addresses of the peers that were heard lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentPeers {
    heard: Arc<Mutex<HashMap<String, Instant>>>,
}

impl RecentPeers {
    /// Notes that a peer is there.
    pub(crate) fn note(&self, address: &str) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.insert(address.to_owned(), Instant::now());
    }

    /// Draws some of the peers and forgets those that were not heard lately.
    fn draw(&self, count: usize) -> Vec<String> {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.retain(|_, at| at.elapsed() < PEER_REMEMBERED);
        heard.keys().cloned().sample(&mut rand::rng(), count)
    }
}

/// Pushes each change of the quarantine to some peers, which push it on.
pub(crate) async fn run(
    vm_name: String,
    quarantine: SharedQuarantine,
    channels: AgentChannels,
    peers: RecentPeers,
) {
    let mut changes = quarantine.changes();
    while changes.changed().await.is_ok() {
        changes.borrow_and_update();
        let exchange = ExchangeRequest {
            from_vm: vm_name.clone(),
            quarantined: quarantine.entries(),
            ..ExchangeRequest::default()
        };
        let pushes = peers
            .draw(PEERS_OF_ONE_PUSH)
            .into_iter()
            .map(|peer| push(channels.clone(), peer, exchange.clone()));
        futures::future::join_all(pushes).await;
    }
}

async fn push(channels: AgentChannels, peer: String, exchange: ExchangeRequest) {
    let Ok(channel) = channels.get(&peer) else {
        return;
    };
    let mut client = PeerClient::new(channel);
    let answer = tokio::time::timeout(PUSH_TIMEOUT, client.exchange(Request::new(exchange))).await;
    if !matches!(answer, Ok(Ok(_))) {
        log::debug!("push to {peer} was not answered");
    }
}
