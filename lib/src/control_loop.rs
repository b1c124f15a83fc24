//! Control traffic of an entry: the VM list and heartbeats to agents.

use std::time::Duration;

use tokio::time::MissedTickBehavior;
use tonic::Request;

use crate::agent_channels::AgentChannels;
use crate::config_duty::SharedConfig;
use crate::duty::Duty;
use crate::platform_client::PlatformClient;
use crate::platform_client::VmRecord;
use crate::protos::control::HeartbeatRequest;
use crate::protos::control::agent_client::AgentClient;
use crate::routing_duty::RoutingCommand;

const LEAVING: &str = "leaving";

/// What the loop needs of its process.
pub(crate) struct ControlLoop {
    pub(crate) vm_name: String,
    pub(crate) peer_address: String,
    pub(crate) platform: PlatformClient,
    pub(crate) channels: AgentChannels,
    pub(crate) config: SharedConfig,
    pub(crate) routing: Duty<RoutingCommand>,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) vm_list_interval: Duration,
}

impl ControlLoop {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut agents = Vec::new();
        let mut list_ticks = tokio::time::interval(self.vm_list_interval);
        let mut heartbeat_ticks = tokio::time::interval(self.heartbeat_interval);
        list_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        heartbeat_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = list_ticks.tick() => self.read_list(&mut agents).await,
                _ = heartbeat_ticks.tick() => self.send_heartbeats(&agents),
            }
        }
    }

    async fn read_list(&self, agents: &mut Vec<VmRecord>) {
        match self.platform.vms().await {
            Ok(list) => {
                *agents = list
                    .vms
                    .iter()
                    .filter(|vm| vm.role == "endpoint")
                    .cloned()
                    .collect();
                self.channels
                    .retain(|peer| list.vms.iter().any(|vm| vm.peer_address == peer));
                let _ = self.routing.submit(RoutingCommand::VmList(list.vms));
            }
            Err(error) => log::warn!("VM list: {error}"),
        }
    }

    fn send_heartbeats(&self, agents: &[VmRecord]) {
        for agent in agents {
            let peer_address = &agent.peer_address;
            let heartbeat = HeartbeatRequest {
                from_vm: self.vm_name.clone(),
                config_revision: self.config.load().revision,
                from_address: self.peer_address.clone(),
                listed_leaving: agent.state == LEAVING,
                quarantined: Vec::new(),
            };
            tokio::spawn(send_heartbeat(
                self.channels.clone(),
                peer_address.clone(),
                heartbeat,
                self.routing.clone(),
                self.heartbeat_interval * 2,
            ));
        }
    }
}

async fn send_heartbeat(
    channels: AgentChannels,
    peer_address: String,
    heartbeat: HeartbeatRequest,
    routing: Duty<RoutingCommand>,
    timeout: Duration,
) {
    let Ok(channel) = channels.get(&peer_address) else {
        return;
    };
    let mut request = Request::new(heartbeat);
    request.set_timeout(timeout);
    let mut client = AgentClient::new(channel);
    let answer = tokio::time::timeout(timeout, client.heartbeat(request)).await;
    let command = match answer {
        Ok(Ok(reply)) => RoutingCommand::Heartbeat {
            peer_address,
            reply: reply.into_inner(),
        },
        Ok(Err(_)) | Err(_) => RoutingCommand::Silent { peer_address },
    };
    let _ = routing.submit(command);
}
