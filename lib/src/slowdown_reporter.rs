//! Tells entries that the engine beside an agent is slow.

use std::net::SocketAddr;

use crate::protos::control::EndpointSlowdown;
use crate::protos::control::GossipMessage;
use crate::rank_datagrams::RankDatagrams;
use crate::short_hash::short_hash;

/// Pace, in percent of the usual time, from which entries are told.
const TOLD_PACE_PERCENT: u32 = 120;

/// Tells entries that the engine beside an agent is slow; they pass it on to each other.
///
/// Nothing is told of an engine that is not: entries forget within a second what is not repeated.
#[derive(Debug, Clone)]
pub(crate) struct SlowdownReporter {
    pub(crate) datagrams: RankDatagrams,
    /// Where some entries hear datagrams.
    pub(crate) entries: Vec<SocketAddr>,
    /// Address of the engine, as entries know it.
    pub(crate) endpoint_address: String,
}

impl SlowdownReporter {
    /// Tells the entries the engine's pace, in percent of the usual time, if it is slow.
    pub(crate) async fn report(&self, pace_percent: u32) {
        if pace_percent < TOLD_PACE_PERCENT {
            return;
        }
        let message = GossipMessage {
            paces: vec![EndpointSlowdown {
                endpoint: short_hash(&self.endpoint_address),
                percent: pace_percent,
            }],
            ..GossipMessage::default()
        };
        for entry in &self.entries {
            self.datagrams.send_to_entry(*entry, &message).await;
        }
    }
}
