//! The addresses of the other ranks of a rank group on the direct path.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

use crate::RankLocation;
use crate::group_agent::ReadPeers;

/// Interval of reads of the addresses while those of some ranks are missing.
const READ_INTERVAL_MS: u64 = 1_000;

/// The addresses of all other ranks, read until they are complete.
pub(crate) struct RankPeers {
    read: Arc<ReadPeers>,
    own_address: SocketAddr,
    rank_count: u32,
    locations: watch::Sender<Vec<RankLocation>>,
    /// Incarnation of the group for which all addresses are known.
    complete_for: Option<u64>,
    next_read_ms: u64,
}

impl RankPeers {
    /// Creates the list of the agent at `own_address`, which is still empty.
    pub(crate) fn new(read: Arc<ReadPeers>, own_address: SocketAddr, rank_count: u32) -> Self {
        Self {
            read,
            own_address,
            rank_count,
            locations: watch::channel(Vec::new()).0,
            complete_for: None,
            next_read_ms: 0,
        }
    }

    /// Reads the addresses until all are known, again for each incarnation of the group, since a rank may
    /// have moved to another VM. Returns whether they have changed.
    pub(crate) async fn update(&mut self, group_incarnation: u64, now_ms: u64) -> bool {
        if self.complete_for == Some(group_incarnation) || now_ms < self.next_read_ms {
            return false;
        }
        self.next_read_ms = now_ms + READ_INTERVAL_MS;
        match (self.read)().await {
            Ok(locations) => self.replace(locations, group_incarnation),
            Err(error) => {
                log::debug!("reading the addresses of agents: {error}");
                false
            }
        }
    }

    fn replace(&mut self, mut locations: Vec<RankLocation>, group_incarnation: u64) -> bool {
        // Several entries with one address are those of one rank.
        let mut addresses = HashSet::from([self.own_address]);
        locations.retain(|location| addresses.insert(location.agent));
        let is_complete = addresses.len() >= self.rank_count as usize;
        self.complete_for = is_complete.then_some(group_incarnation);
        self.locations.send_if_modified(|known| {
            let has_changed = *known != locations;
            *known = locations;
            has_changed
        })
    }

    /// Returns the addresses of the other ranks' agents.
    pub(crate) fn agents(&self) -> Vec<SocketAddr> {
        let locations = self.locations.borrow();
        locations.iter().map(|location| location.agent).collect()
    }

    /// Returns a receiver of the addresses.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Vec<RankLocation>> {
        self.locations.subscribe()
    }
}
