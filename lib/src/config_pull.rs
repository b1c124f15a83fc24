//! Pulls configuration that a peer has and this process lacks.

use std::time::Duration;

use tokio::sync::oneshot;
use tonic::Request;

use crate::agent_channels::AgentChannels;
use crate::config_duty::ConfigCommand;
use crate::duty::Duty;
use crate::protos::control::ExchangeReply;
use crate::protos::control::ExchangeRequest;
use crate::protos::control::peer_client::PeerClient;

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Exchanges configuration with peers on behalf of one process.
#[derive(Clone)]
pub(crate) struct ConfigPull {
    pub(crate) vm_name: String,
    pub(crate) channels: AgentChannels,
    pub(crate) duty: Duty<ConfigCommand>,
}

impl ConfigPull {
    /// Asks the peer for newer values and offers them; `None` when the peer did not answer.
    pub(crate) async fn pull(&self, peer: &str) -> Option<ExchangeReply> {
        let (reply, held) = oneshot::channel();
        self.duty.submit(ConfigCommand::Held { reply }).ok()?;
        let have = held.await.ok()?;
        let config_revision = have.iter().map(|held| held.revision).max().unwrap_or(0);
        let exchange = ExchangeRequest {
            from_vm: self.vm_name.clone(),
            config_revision,
            have,
            quarantined: Vec::new(),
        };
        let mut request = Request::new(exchange);
        request.set_timeout(EXCHANGE_TIMEOUT);
        let mut client = PeerClient::new(self.channels.get(peer).ok()?);
        let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, client.exchange(request)).await;
        let mut answer = answer.ok()?.ok()?.into_inner();
        if !answer.newer.is_empty() {
            let newer = std::mem::take(&mut answer.newer);
            self.duty.submit(ConfigCommand::Offer(newer)).ok()?;
        }
        Some(answer)
    }
}
