//! Control traffic of an entry: reads of the VM list and heartbeats to agents.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tonic::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::VmListReadRate;
use crate::actor::Actor;
use crate::agent_channels::AgentChannels;
use crate::agent_channels::is_connect_failure;
use crate::agent_reports::AgentReports;
use crate::config_actor::SharedConfig;
use crate::control_plan::ControlPlan;
use crate::control_plan::HeartbeatTarget;
use crate::event;
use crate::platform_client::PlatformClient;
use crate::protos::control::AgentReport;
use crate::protos::control::HeartbeatReply;
use crate::protos::control::HeartbeatRequest;
use crate::protos::control::agent_client::AgentClient;
use crate::quarantine_push::RecentPeers;
use crate::routing_actor::RoutingCommand;
use crate::shared_quarantine::SharedQuarantine;

const PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the VM list and sends heartbeats to agents on behalf of an entry.
pub(crate) struct ControlLoop {
    pub(crate) vm_name: String,
    pub(crate) peer_address: String,
    pub(crate) platform: PlatformClient,
    pub(crate) channels: AgentChannels,
    pub(crate) config: SharedConfig,
    pub(crate) reports: AgentReports,
    pub(crate) routing: Actor<RoutingCommand>,
    pub(crate) heartbeat_timeout: Duration,
    pub(crate) vm_list_read_rate: VmListReadRate,
    /// Receives the address of an agent that has a newer configuration than this entry.
    pub(crate) config_pulls: mpsc::Sender<String>,
    pub(crate) quarantine: SharedQuarantine,
    pub(crate) recent_peers: RecentPeers,
}

impl ControlLoop {
    /// Runs until the process ends, and publishes each plan to `plans`.
    pub(crate) async fn run(self, plans: watch::Sender<Option<ControlPlan>>) {
        tokio::spawn(read_lists(
            self.platform.clone(),
            self.channels.clone(),
            self.routing.clone(),
            self.vm_list_read_rate,
        ));
        let mut plan_ticks = tokio::time::interval(PLAN_INTERVAL);
        plan_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            plan_ticks.tick().await;
            if let Some(plan) = self.plan().await {
                self.send_heartbeats(&plan.heartbeats);
                for peer in &plan.peers {
                    self.recent_peers.record(&peer.peer_address);
                }
                plans.send_replace(Some(plan));
            }
        }
    }

    async fn plan(&self) -> Option<ControlPlan> {
        let (reply, plan) = oneshot::channel();
        let command = RoutingCommand::Plan {
            config_revision: self.config.load().revision,
            update_digest: self.update_digest(),
            reply,
        };
        self.routing.submit(command).ok()?;
        plan.await.ok()
    }

    /// Returns a digest of the configuration and quarantine state that all heartbeats carry.
    fn update_digest(&self) -> u64 {
        let view = self.config.load();
        let mut digest = Xxh3::new();
        digest.update(&view.revision.to_le_bytes());
        digest.update(&view.digest.to_le_bytes());
        digest.update(&self.quarantine.version().to_le_bytes());
        digest.digest()
    }

    fn send_heartbeats(&self, targets: &[HeartbeatTarget]) {
        let view = self.config.load();
        for target in targets {
            let heartbeat = HeartbeatRequest {
                from_vm: self.vm_name.clone(),
                config_revision: view.revision,
                from_address: self.peer_address.clone(),
                listed_leaving: target.is_listed_leaving,
                quarantine_news: self.quarantine.update_for(&target.peer_address),
                config_digest: view.digest,
            };
            let exchange = HeartbeatExchange {
                target: target.clone(),
                request_sent_ms: self.reports.now_ms(),
                config_revision: view.revision,
                config_digest: view.digest,
                reports: self.reports.clone(),
                config_pulls: self.config_pulls.clone(),
                quarantine: self.quarantine.clone(),
                recent_peers: self.recent_peers.clone(),
            };
            let channels = self.channels.clone();
            tokio::spawn(exchange.run(channels, heartbeat, self.heartbeat_timeout));
        }
    }
}

/// Reads the VM list periodically until the process ends.
async fn read_lists(
    platform: PlatformClient,
    channels: AgentChannels,
    routing: Actor<RoutingCommand>,
    rate: VmListReadRate,
) {
    loop {
        let started = Instant::now();
        let answer_bytes = read_list(&platform, &channels, &routing).await;
        let delay = Duration::from_millis(rate.delay_ms(answer_bytes));
        tokio::time::sleep_until(started + delay).await;
    }
}

/// Reads the VM list once. Returns the size of the answer in bytes, or zero if the read failed.
async fn read_list(
    platform: &PlatformClient,
    channels: &AgentChannels,
    routing: &Actor<RoutingCommand>,
) -> u64 {
    match platform.vms().await {
        Ok(list) => {
            channels.retain(|peer| list.vms.iter().any(|vm| vm.peer_address == peer));
            if let Err(error) = routing.submit(RoutingCommand::VmList(list.vms)) {
                log::warn!("cannot pass the VM list to the routing actor: {error}");
            }
            list.answer_bytes
        }
        Err(error) => {
            event!(VmListFailed, "{error}");
            0
        }
    }
}

/// One heartbeat in flight, and what is needed to process its reply.
struct HeartbeatExchange {
    target: HeartbeatTarget,
    request_sent_ms: u64,
    config_revision: u64,
    config_digest: u64,
    reports: AgentReports,
    config_pulls: mpsc::Sender<String>,
    quarantine: SharedQuarantine,
    recent_peers: RecentPeers,
}

impl HeartbeatExchange {
    async fn run(self, channels: AgentChannels, heartbeat: HeartbeatRequest, timeout: Duration) {
        let Ok(channel) = channels.get(&self.target.peer_address) else {
            return;
        };
        let mut request = Request::new(heartbeat);
        request.set_timeout(timeout);
        let mut client = AgentClient::new(channel);
        let answer = tokio::time::timeout(timeout, client.heartbeat(request)).await;
        match answer {
            Ok(Ok(reply)) => self.handle_reply(&reply.into_inner()),
            Ok(Err(status)) if is_connect_failure(&status) => {
                self.reports.record_unreachable(&self.target.vm_name);
            }
            // A timeout or another error does not prove the agent unreachable; the failure detector
            // measures the time since its last report.
            Ok(Err(_)) | Err(_) => {}
        }
    }

    fn handle_reply(&self, reply: &HeartbeatReply) {
        let update = reply.quarantine_news.as_ref();
        self.quarantine
            .apply_update(&self.target.peer_address, update);
        self.recent_peers.record(&self.target.peer_address);
        if reply.config_revision > self.config_revision {
            // If the channel is full, the pull that is in progress fetches this revision as well.
            let _ = self.config_pulls.try_send(self.target.peer_address.clone());
        }
        let report = AgentReport {
            incarnation: reply.incarnation,
            clock_ms: reply.clock_ms,
            leaving: reply.leaving,
            endpoint_up: reply.endpoint_up,
            config_revision: reply.config_revision,
            load: reply.load,
        };
        let vm_name = &self.target.vm_name;
        self.reports
            .record_report(vm_name, report, self.request_sent_ms);
        // An agent whose configuration differs must receive the update again.
        if reply.config_digest == self.config_digest {
            self.reports
                .record_acknowledgement(vm_name, self.target.update_digest);
        }
    }
}
