//! Pushes changes of the quarantine to peers without waiting for the next heartbeat.

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
const MAX_PEERS_PER_PUSH: usize = 16;
/// Maximum number of messages to one peer after one change.
const MAX_MESSAGES_PER_PUSH: usize = 128;
const PEER_RETENTION: Duration = Duration::from_mins(1);

/// Addresses of peers with a recent contact.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentPeers {
    last_contact: Arc<Mutex<HashMap<String, Instant>>>,
}

impl RecentPeers {
    /// Records a contact with a peer.
    pub(crate) fn record(&self, address: &str) {
        let mut last_contact = self
            .last_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_contact.insert(address.to_owned(), Instant::now());
    }

    /// Returns a random sample of the peers, and removes those without a recent contact.
    fn sample(&self, count: usize) -> Vec<String> {
        let mut last_contact = self
            .last_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_contact.retain(|_, contacted_at| contacted_at.elapsed() < PEER_RETENTION);
        last_contact.keys().cloned().sample(&mut rand::rng(), count)
    }
}

/// Starts a task that pushes each change of the quarantine to peers in the returned set, which the
/// caller must keep up to date.
pub(crate) fn spawn(
    vm_name: &str,
    quarantine: &SharedQuarantine,
    channels: &AgentChannels,
) -> RecentPeers {
    let peers = RecentPeers::default();
    let push = QuarantinePush {
        vm_name: vm_name.to_owned(),
        quarantine: quarantine.clone(),
        channels: channels.clone(),
        peers: peers.clone(),
    };
    tokio::spawn(push.run());
    peers
}

/// Pushes each change of the quarantine to a random sample of the peers, which push it further.
#[derive(Debug)]
struct QuarantinePush {
    vm_name: String,
    quarantine: SharedQuarantine,
    channels: AgentChannels,
    peers: RecentPeers,
}

impl QuarantinePush {
    /// Runs until the quarantine is dropped.
    async fn run(self) {
        let mut changes = self.quarantine.changes();
        while changes.changed().await.is_ok() {
            changes.borrow_and_update();
            let peers = self.peers.sample(MAX_PEERS_PER_PUSH);
            let pushes = peers.iter().map(|peer| self.push_all(peer));
            futures::future::join_all(pushes).await;
        }
    }

    /// Pushes to one peer until it has acknowledged every change or fails to answer.
    async fn push_all(&self, peer: &str) {
        for _ in 0..MAX_MESSAGES_PER_PUSH {
            if !self.quarantine.has_updates_for(peer) {
                return;
            }
            if self.push(peer).await.is_none() {
                log::debug!("quarantine update to peer {peer} was not answered");
                return;
            }
        }
    }

    async fn push(&self, peer: &str) -> Option<()> {
        let exchange = ExchangeRequest {
            from_vm: self.vm_name.clone(),
            quarantine_news: self.quarantine.update_for(peer),
            ..ExchangeRequest::default()
        };
        let mut client = PeerClient::new(self.channels.get(peer).ok()?);
        let answer = client.exchange(Request::new(exchange));
        let answer = tokio::time::timeout(PUSH_TIMEOUT, answer)
            .await
            .ok()?
            .ok()?;
        let update = answer.into_inner().quarantine_news;
        self.quarantine.apply_update(peer, update.as_ref());
        Some(())
    }
}
