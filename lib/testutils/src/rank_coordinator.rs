//! A coordinator in the test's own process, whose messages the test sends or withholds.

use std::collections::VecDeque;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pomeloramp_lib::CoordinatorRequest;
use pomeloramp_lib::MapCoordinator;
use pomeloramp_lib::MapOutcome;
use pomeloramp_lib::MapReply;
use pomeloramp_lib::MapRequest;
use pomeloramp_lib::RankAddress;
use pomeloramp_lib::protos::control::ExpertReplica;
use pomeloramp_lib::protos::control::rank_group_client::RankGroupClient;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tonic::Status;
use tonic::transport::Endpoint;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const END_TIMEOUT: Duration = Duration::from_secs(40);
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// The ranks' agents, as a coordinator reaches them.
#[derive(Debug, Clone)]
pub struct RankAgents {
    /// Name of the group.
    pub group: String,
    /// Peer address of the agent of each rank.
    pub addresses: Vec<String>,
}

/// A run of a coordinator over sockets.
#[derive(Debug)]
pub struct RankCoordinator {
    runtime: Runtime,
    agents: RankAgents,
    coordinator: MapCoordinator,
    sends: VecDeque<CoordinatorRequest>,
    started: Instant,
}

impl RankCoordinator {
    /// Starts a run that proposes `replicas` with a switch step `lead_steps` ahead.
    ///
    /// # Panics
    ///
    /// Panics when no runtime can be started.
    #[must_use]
    pub fn start(
        agents: RankAgents,
        group_incarnation: u64,
        replicas: Vec<ExpertReplica>,
        lead_steps: u64,
    ) -> Self {
        let mut coordinator = MapCoordinator::builder()
            .group_incarnation(group_incarnation)
            .rank_count(agents.addresses.len())
            .nonce(rand::random())
            .lead_steps(lead_steps)
            .proposal(replicas)
            .build();
        let sends = coordinator.start(0);
        Self {
            runtime: Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime starts"),
            agents,
            coordinator,
            sends: sends.into(),
            started: Instant::now(),
        }
    }

    /// Replaces the addresses, as after the restart of an agent.
    pub fn set_agents(&mut self, agents: RankAgents) {
        self.agents = agents;
    }

    /// Returns the id of the proposed map, once it was sent to any rank.
    #[must_use]
    pub fn map_id(&self) -> Option<u64> {
        self.coordinator.proposed_map_id()
    }

    /// Sends what waits and `is_sent` picks, one message after another, and calls `after` once each
    /// was answered; the rest is withheld. Time does not pass for the run.
    pub fn send_picked(
        &mut self,
        is_sent: impl Fn(&CoordinatorRequest) -> bool,
        mut after: impl FnMut(),
    ) {
        while let Some(index) = self.sends.iter().position(&is_sent) {
            if let Some(send) = self.sends.remove(index) {
                self.deliver(&send);
                after();
            }
        }
    }

    /// Returns what waits to be sent.
    #[must_use]
    pub fn withheld(&self) -> &VecDeque<CoordinatorRequest> {
        &self.sends
    }

    /// Sends what was withheld and goes on until the run has ended.
    ///
    /// # Panics
    ///
    /// Panics when it has not ended within 40 s.
    pub fn finish(&mut self) -> MapOutcome {
        let deadline = Instant::now() + END_TIMEOUT;
        loop {
            while let Some(send) = self.sends.pop_front() {
                self.deliver(&send);
            }
            if let Some(outcome) = self.coordinator.outcome() {
                return outcome;
            }
            assert!(
                Instant::now() < deadline,
                "the coordinator's run has not ended: {:?}",
                self.coordinator
            );
            thread::sleep(TICK_INTERVAL);
            let now_ms = self.now_ms();
            let sends = self.coordinator.tick(now_ms);
            self.sends.extend(sends);
        }
    }

    fn deliver(&mut self, send: &CoordinatorRequest) {
        let asked = send_request(&self.agents, send.rank, send.request.clone());
        let limited = async { tokio::time::timeout(CALL_TIMEOUT, asked).await };
        let Ok(Ok(reply)) = self.runtime.block_on(limited) else {
            return;
        };
        let now_ms = self.now_ms();
        let sends = self
            .coordinator
            .on_reply(send.call_id, send.rank, &reply, now_ms);
        self.sends.extend(sends);
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

async fn send_request(
    agents: &RankAgents,
    rank: usize,
    request: MapRequest,
) -> Result<MapReply, Status> {
    let unreachable = |error: tonic::transport::Error| Status::unavailable(error.to_string());
    let channel = Endpoint::from_shared(format!("http://{}", agents.addresses[rank]))
        .map_err(unreachable)?
        .connect()
        .await
        .map_err(unreachable)?;
    let mut client = RankGroupClient::new(channel);
    let address = RankAddress {
        group: agents.group.clone(),
        rank,
        rank_count: agents.addresses.len(),
    };
    address.send_request(&mut client, request).await
}
