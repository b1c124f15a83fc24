//! Starts the components of an agent whose endpoint is a rank of a group.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::Clock;
use crate::Incarnation;
use crate::actor::Actor;
use crate::agent_channels::AgentChannels;
use crate::config_actor::SharedConfig;
use crate::platform_client::PlatformClient;
use crate::protos::control::RankStatus;
use crate::protos::settings::EndpointSettings;
use crate::rank_actor::RankActor;
use crate::rank_actor::RankOutputs;
use crate::rank_command::RankCommand;
use crate::rank_engine_client::RankEngineClient;
use crate::rank_planner::RankPlanner;
use crate::rank_server::RankServer;
use crate::rank_transport;
use crate::rank_transport::RankPeers;
use crate::rank_weights::RankWeights;

const REQUEST_QUEUE_LENGTH: usize = 1024;
/// At most one order is in flight at a time.
const ORDER_QUEUE_LENGTH: usize = 1;

/// Dependencies of the rank components, provided by the daemon of the agent.
#[derive(bon::Builder)]
pub(crate) struct RankAgent<'a> {
    clock: Clock,
    incarnation: Incarnation,
    endpoint_settings: &'a EndpointSettings,
    connect_timeout: Duration,
    channels: AgentChannels,
    platform: PlatformClient,
    config: SharedConfig,
    /// Becomes true when the agent shuts down.
    closing: watch::Receiver<bool>,
}

impl RankAgent<'_> {
    /// Starts the actor and its tasks; returns `None` if the endpoint is not a rank of a group.
    pub(crate) fn start(self) -> Option<RankServer> {
        let settings = self.endpoint_settings.rank_group.clone()?;
        if settings.group.is_empty() {
            return None;
        }
        let (orders, order_queue) = mpsc::channel(ORDER_QUEUE_LENGTH);
        let (requests, request_queue) = mpsc::channel(REQUEST_QUEUE_LENGTH);
        let outputs = RankOutputs {
            orders,
            requests,
            highest_ballot: watch::channel(0).0,
        };
        let actor = RankActor::new(self.clock, self.incarnation, &settings, outputs).spawn();
        let engine = RankEngineClient::new(&settings, self.connect_timeout);
        let peers = RankPeers {
            channels: self.channels,
            group: settings.group.clone(),
            agent_addresses: Arc::new(settings.agent_addresses.clone()),
            own_rank: settings.rank as usize,
            actor: actor.clone(),
        };
        let address = peers.address(peers.own_rank);
        tokio::spawn(rank_transport::send_orders(
            order_queue,
            engine.clone(),
            actor.clone(),
            self.closing.clone(),
        ));
        tokio::spawn(rank_transport::send_requests(
            request_queue,
            peers.clone(),
            self.closing.clone(),
        ));
        let planner = RankPlanner {
            clock: self.clock,
            settings,
            service: self.endpoint_settings.service.clone(),
            config: self.config,
            peers,
        };
        tokio::spawn(planner.run(self.closing));
        Some(RankServer {
            address,
            actor,
            weights: RankWeights {
                engine,
                platform: self.platform,
            },
        })
    }
}

/// Requests the rank's status from its actor; `None` if there is no actor or it is overloaded.
pub(crate) async fn status(actor: Option<Actor<RankCommand>>) -> Option<RankStatus> {
    let (reply, status) = oneshot::channel();
    if let Err(error) = actor?.submit(RankCommand::Status { reply }) {
        log::warn!("status of the rank: {error}");
    }
    status.await.ok()
}
