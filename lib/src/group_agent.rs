//! The agent of a rank on the direct path.

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
use crate::rank_run::RankRun;

const START_RETRY: Duration = Duration::from_millis(250);

/// Where a rank of the group's service is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankLocation {
    /// Address of the agent for datagrams.
    pub agent: SocketAddr,
    /// Address of the engine.
    pub engine: String,
}

/// Reads where all ranks of the group's service are.
pub type ReadPeers = dyn Fn() -> EngineReply<Vec<RankLocation>> + Send + Sync;
/// Returns how to reach the engine at an address.
pub type EngineByAddress = dyn Fn(&str) -> DirectEngine + Send + Sync;

/// The agent of a rank on the direct path.
pub struct GroupAgent {
    /// The engine beside the agent.
    pub engine: DirectEngine,
    /// Reads where all ranks of the group's service are.
    pub peers: Arc<ReadPeers>,
    /// Returns how to reach the engine of another rank.
    pub engine_at: Arc<EngineByAddress>,
    /// IP address and port for datagrams.
    pub address: SocketAddr,
    /// Address of the engine, as entries know it.
    pub endpoint_address: String,
    /// Where some entries hear datagrams.
    pub entries: Vec<SocketAddr>,
}

impl GroupAgent {
    /// Runs until the process is told to end.
    ///
    /// # Errors
    ///
    /// Fails when the address is not usable.
    pub async fn run(self, mut closing: watch::Receiver<bool>) -> Result<(), DaemonError> {
        let socket = listener::datagrams(&self.address.to_string()).await?;
        let datagrams = RankDatagrams::new(socket);
        event!(AgentStarted, "address={}", self.address);
        let clock = Clock::start();
        let serving = async {
            loop {
                let Some(run) = RankRun::start(&self, clock, &datagrams).await else {
                    tokio::time::sleep(START_RETRY).await;
                    continue;
                };
                run.run().await;
                datagrams.forget();
            }
        };
        tokio::select! {
            () = serving => {}
            _ = closing.wait_for(|closing| *closing) => {}
        }
        Ok(())
    }
}
