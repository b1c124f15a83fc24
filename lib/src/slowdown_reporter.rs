//! Reports to entries that the engine beside an agent is slow.

use std::net::SocketAddr;

use crate::protos::control::EndpointSlowdown;
use crate::protos::control::GossipMessage;
use crate::rank_datagrams::RankDatagrams;
use crate::short_hash::short_hash;

/// Smallest slowdown, in percent of the usual step time, that is reported to entries.
const MIN_REPORTED_SLOWDOWN_PERCENT: u32 = 120;

/// Reports to entries that the engine beside an agent is slow; the entries gossip it further.
///
/// The recovery of an engine is not reported: entries drop a slowdown within a second after its
/// last report.
#[derive(Debug, Clone)]
pub(crate) struct SlowdownReporter {
    pub(crate) datagrams: RankDatagrams,
    /// Gossip addresses of some entries.
    pub(crate) entries: Vec<SocketAddr>,
    /// Address of the engine, as entries identify it.
    pub(crate) endpoint_address: String,
}

impl SlowdownReporter {
    /// Reports the engine's slowdown, in percent of the usual step time, if the engine is slow.
    pub(crate) async fn report(&self, slowdown_percent: u32) {
        if slowdown_percent < MIN_REPORTED_SLOWDOWN_PERCENT {
            return;
        }
        let message = GossipMessage {
            paces: vec![EndpointSlowdown {
                endpoint: short_hash(&self.endpoint_address),
                percent: slowdown_percent,
            }],
            ..GossipMessage::default()
        };
        for entry in &self.entries {
            self.datagrams.send_to_entry(*entry, &message).await;
        }
    }
}
