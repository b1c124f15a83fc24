//! Agent of one rank of a rank group on the direct path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::Clock;
use crate::DaemonError;
use crate::DirectEngine;
use crate::direct_engine::EngineReply;
use crate::event;
use crate::listener;
use crate::rank_datagrams::RankDatagrams;
use crate::rank_session::RankSession;
use crate::shutdown;

const START_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Addresses of a rank of the group's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankLocation {
    /// Address at which the rank's agent receives datagrams.
    pub agent: SocketAddr,
    /// Address of the rank's engine.
    pub engine: String,
}

/// Reads the addresses of all ranks of the group's service.
pub type ReadPeers = dyn Fn() -> EngineReply<Vec<RankLocation>> + Send + Sync;
/// Returns the adapter for the engine at an address.
pub type EngineByAddress = dyn Fn(&str) -> DirectEngine + Send + Sync;

/// The agent of one rank on the direct path: takes part in agreeing on expert maps and plans them.
pub struct GroupAgent {
    /// The adapter for the engine beside the agent.
    pub engine: DirectEngine,
    /// Reads the addresses of all ranks of the group's service.
    pub peers: Arc<ReadPeers>,
    /// Returns the adapter for the engine of another rank.
    pub engine_at: Arc<EngineByAddress>,
    /// IP address and port at which the agent receives datagrams.
    pub address: SocketAddr,
    /// Address under which entries know the engine.
    pub endpoint_address: String,
    /// Addresses at which some of the entries receive datagrams.
    pub entries: Vec<SocketAddr>,
}

impl GroupAgent {
    /// Runs until `closing` becomes true and the rank waits for nothing from this agent.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be bound to the agent's address.
    pub async fn run(self, mut closing: watch::Receiver<bool>) -> Result<(), DaemonError> {
        let socket = listener::bind_datagram_socket(&self.address.to_string()).await?;
        let datagrams = RankDatagrams::new(socket);
        event!(AgentStarted, "address={}", self.address);
        let clock = Clock::start();
        while !*closing.borrow() {
            let session = tokio::select! {
                session = self.start_session(clock, &datagrams) => session,
                () = shutdown::requested(&mut closing) => return Ok(()),
            };
            session.run(closing.clone()).await;
            datagrams.clear_addresses();
        }
        Ok(())
    }

    /// Starts a session once the engine answers.
    async fn start_session(&self, clock: Clock, datagrams: &RankDatagrams) -> RankSession {
        loop {
            if let Some(session) = RankSession::start(self, clock, datagrams).await {
                return session;
            }
            tokio::time::sleep(START_RETRY_INTERVAL).await;
        }
    }
}
