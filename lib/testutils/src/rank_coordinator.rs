//! A map coordinator in the test's own process, whose requests the test sends or withholds.

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
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(40);
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Addresses of the agents of a rank group.
#[derive(Debug, Clone)]
pub struct RankAgents {
    /// Name of the group.
    pub group: String,
    /// Peer address of the agent of each rank.
    pub addresses: Vec<String>,
}

/// A map coordinator that sends its requests over the network.
#[derive(Debug)]
pub struct RankCoordinator {
    runtime: Runtime,
    agents: RankAgents,
    coordinator: MapCoordinator,
    requests: VecDeque<CoordinatorRequest>,
    started: Instant,
}

impl RankCoordinator {
    /// Starts a coordinator that proposes `replicas` with a switch step `lead_steps` ahead.
    ///
    /// # Panics
    ///
    /// Panics if no runtime can be started.
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
        let requests = coordinator.start(0);
        Self {
            runtime: Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime starts"),
            agents,
            coordinator,
            requests: requests.into(),
            started: Instant::now(),
        }
    }

    /// Replaces the addresses, for example after the restart of an agent.
    pub fn set_agents(&mut self, agents: RankAgents) {
        self.agents = agents;
    }

    /// Returns the id of the proposed map once a prepare request for it exists.
    #[must_use]
    pub fn map_id(&self) -> Option<u64> {
        self.coordinator.proposed_map_id()
    }

    /// Sends the pending requests that `is_sent` selects, one after another, and calls `after` after
    /// each one; the others are withheld. The coordinator's timeouts do not advance.
    pub fn send_matching(
        &mut self,
        is_sent: impl Fn(&CoordinatorRequest) -> bool,
        mut after: impl FnMut(),
    ) {
        while let Some(index) = self.requests.iter().position(&is_sent) {
            if let Some(request) = self.requests.remove(index) {
                self.deliver(&request);
                after();
            }
        }
    }

    /// Returns the requests that have not been sent.
    #[must_use]
    pub fn withheld(&self) -> &VecDeque<CoordinatorRequest> {
        &self.requests
    }

    /// Sends the withheld requests and runs the coordinator until it has an outcome.
    ///
    /// # Panics
    ///
    /// Panics if there is no outcome within 40 s.
    pub fn finish(&mut self) -> MapOutcome {
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        loop {
            while let Some(request) = self.requests.pop_front() {
                self.deliver(&request);
            }
            if let Some(outcome) = self.coordinator.outcome() {
                return outcome;
            }
            assert!(
                Instant::now() < deadline,
                "the coordinator has no outcome: {:?}",
                self.coordinator
            );
            thread::sleep(TICK_INTERVAL);
            let now_ms = self.now_ms();
            let requests = self.coordinator.tick(now_ms);
            self.requests.extend(requests);
        }
    }

    fn deliver(&mut self, request: &CoordinatorRequest) {
        let reply = send_request(&self.agents, request.rank, request.request.clone());
        let reply_with_timeout = async { tokio::time::timeout(CALL_TIMEOUT, reply).await };
        let Ok(Ok(reply)) = self.runtime.block_on(reply_with_timeout) else {
            return;
        };
        let now_ms = self.now_ms();
        let requests = self
            .coordinator
            .on_reply(request.call_id, request.rank, &reply, now_ms);
        self.requests.extend(requests);
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
