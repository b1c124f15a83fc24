//! Sources of the configuration: the platform's configuration service and peers.

use std::time::Duration;

use pomeloramp_proc_macros::key;
use tokio::sync::oneshot;
use tonic::Request;

use crate::ConfigChanges;
use crate::JsonError;
use crate::actor::Actor;
use crate::actor::ActorError;
use crate::agent_channels::AgentChannels;
use crate::agent_channels::is_refused_connection;
use crate::config_actor::ConfigCommand;
use crate::config_actor::SharedConfig;
use crate::platform_client::PlatformClient;
use crate::protos::control::ConfigValue;
use crate::protos::control::ExchangeReply;
use crate::protos::control::ExchangeRequest;
use crate::protos::control::KeyRevision;
use crate::protos::control::peer_client::PeerClient;
use crate::shared_quarantine::SharedQuarantine;

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on requests to a peer in one exchange. Replies are bounded in size, so a new process
/// needs several of them.
const MAX_REQUESTS_PER_EXCHANGE: usize = 64;
const RING_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Reason why an exchange with a peer failed.
#[key]
pub(crate) enum ExchangeError {
    /// The connection was refused: no process listens at the peer's address.
    Refused,
    /// The peer did not answer in time, or answered with an error.
    NoAnswer,
}

/// Reads the platform's configuration service and exchanges configuration with peers.
#[derive(Clone)]
pub(crate) struct ConfigSource {
    pub(crate) vm_name: String,
    pub(crate) platform: PlatformClient,
    pub(crate) channels: AgentChannels,
    pub(crate) config: SharedConfig,
    pub(crate) actor: Actor<ConfigCommand>,
    pub(crate) quarantine: SharedQuarantine,
}

impl ConfigSource {
    /// Waits up to `wait` for values published after `revision`, passes them to the configuration
    /// actor, and returns the service's revision.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub(crate) async fn read(&self, revision: u64, wait: Duration) -> Result<u64, JsonError> {
        let published = self.platform.watch(revision, wait).await?;
        let values = published
            .values
            .into_iter()
            .map(|value| ConfigValue {
                key: value.key,
                revision: value.revision,
                value: value.value.into_bytes(),
            })
            .collect();
        let changes = ConfigChanges {
            values,
            ..ConfigChanges::default()
        };
        self.offer(changes).await;
        Ok(published.revision)
    }

    /// Compares digests with a peer and, if they differ, requests and applies the peer's newer
    /// values.
    ///
    /// # Errors
    ///
    /// Fails when the peer refuses the connection, does not answer in time, or still has newer
    /// values after the last request of the exchange.
    pub(crate) async fn exchange(&self, peer: &str) -> Result<ExchangeReply, ExchangeError> {
        let view = self.config.load_full();
        let digest_request = ExchangeRequest {
            from_vm: self.vm_name.clone(),
            config_revision: view.revision,
            config_digest: view.digest,
            quarantine_news: self.quarantine.update_for(peer),
            ..ExchangeRequest::default()
        };
        let answer = self.send(peer, digest_request.clone()).await?;
        self.quarantine
            .apply_update(peer, answer.quarantine_news.as_ref());
        if answer.config_digest == view.digest {
            return Ok(answer);
        }
        for _ in 0..MAX_REQUESTS_PER_EXCHANGE {
            let values_request = ExchangeRequest {
                have: self.held_revisions().await?,
                asks_for_values: true,
                takes_patches: true,
                quarantine_news: None,
                ..digest_request.clone()
            };
            let mut answer = self.send(peer, values_request).await?;
            let changes = ConfigChanges {
                values: std::mem::take(&mut answer.newer),
                patches: std::mem::take(&mut answer.patches),
                has_more: answer.has_more,
            };
            let all_patches_applied = self.offer(changes).await;
            if all_patches_applied && !answer.has_more {
                return Ok(answer);
            }
        }
        Err(ExchangeError::NoAnswer)
    }

    async fn held_revisions(&self) -> Result<Vec<KeyRevision>, ExchangeError> {
        let (reply, have) = oneshot::channel();
        let submitted = self.actor.submit(ConfigCommand::HeldRevisions { reply });
        submitted.map_err(|_| ExchangeError::NoAnswer)?;
        have.await.map_err(|_| ExchangeError::NoAnswer)
    }

    async fn send(
        &self,
        peer: &str,
        exchange: ExchangeRequest,
    ) -> Result<ExchangeReply, ExchangeError> {
        let mut request = Request::new(exchange);
        request.set_timeout(EXCHANGE_TIMEOUT);
        let channel = self.channels.get(peer);
        let mut client = PeerClient::new(channel.map_err(|_| ExchangeError::Refused)?);
        let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, client.exchange(request)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer.into_inner()),
            Ok(Err(status)) if is_refused_connection(&status) => Err(ExchangeError::Refused),
            Ok(Err(_)) | Err(_) => Err(ExchangeError::NoAnswer),
        }
    }

    /// Submits changes to the actor, retrying while its ring is full. Returns, once they are
    /// processed, whether every patch among them could be applied.
    async fn offer(&self, changes: ConfigChanges) -> bool {
        if changes.values.is_empty() && changes.patches.is_empty() {
            return true;
        }
        let (done, processed) = oneshot::channel();
        let mut command = ConfigCommand::Offer { changes, done };
        while let Err(returned) = self.actor.submit_or_return(command) {
            command = returned;
            tokio::time::sleep(RING_RETRY_DELAY).await;
        }
        processed.await.unwrap_or(false)
    }
}

/// Returns the changes that a peer lacks, or none if its request asks for no values.
///
/// # Errors
///
/// Fails when the actor's ring is full or its thread has ended.
pub(crate) async fn newer_changes(
    actor: &Actor<ConfigCommand>,
    exchange: ExchangeRequest,
) -> Result<ConfigChanges, ActorError> {
    if !exchange.asks_for_values {
        return Ok(ConfigChanges::default());
    }
    let (reply, newer) = oneshot::channel();
    let command = ConfigCommand::ChangesSince {
        have: exchange.have,
        takes_patches: exchange.takes_patches,
        reply,
    };
    actor.submit(command)?;
    newer
        .await
        .map_err(|_| ActorError::Ended { actor: "config" })
}
