//! The service that every daemon offers to other processes and operators.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::config_duty::ConfigCommand;
use crate::config_duty::SharedConfig;
use crate::duty::Duty;
use crate::in_flight::InFlight;
use crate::incarnation::Incarnation;
use crate::protos::control::ConfigValue;
use crate::protos::control::ExchangeReply;
use crate::protos::control::ExchangeRequest;
use crate::protos::control::StatusReply;
use crate::protos::control::StatusRequest;
use crate::protos::control::peer_server::Peer;

/// State shared by the handlers.
pub(crate) struct PeerState {
    pub(crate) vm_name: String,
    pub(crate) role: &'static str,
    pub(crate) incarnation: Incarnation,
    pub(crate) draining: watch::Receiver<bool>,
    pub(crate) config: SharedConfig,
    pub(crate) in_flight: InFlight,
    pub(crate) config_duty: Duty<ConfigCommand>,
}

impl PeerState {
    /// Returns the values that the peer lacks.
    async fn newer(&self, exchange: ExchangeRequest) -> Result<Vec<ConfigValue>, Status> {
        let busy = |_| Status::resource_exhausted("configuration duty is busy");
        let (reply, newer) = oneshot::channel();
        let command = ConfigCommand::Newer {
            have: exchange.have,
            reply,
        };
        self.config_duty.submit(command).map_err(busy)?;
        newer
            .await
            .map_err(|_| Status::unavailable("configuration duty has ended"))
    }
}

/// Serves exchanges and status.
#[derive(Clone)]
pub(crate) struct PeerServer {
    pub(crate) state: Arc<PeerState>,
}

#[tonic::async_trait]
impl Peer for PeerServer {
    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let state = &self.state;
        let exchange = request.into_inner();
        let newer = state.newer(exchange).await?;
        Ok(Response::new(ExchangeReply {
            vm_name: state.vm_name.clone(),
            incarnation: state.incarnation.0,
            config_revision: state.config.load().revision,
            leaving: *state.draining.borrow(),
            newer,
            ..ExchangeReply::default()
        }))
    }

    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let state = &self.state;
        Ok(Response::new(StatusReply {
            vm_name: state.vm_name.clone(),
            role: state.role.to_owned(),
            incarnation: state.incarnation.0,
            draining: *state.draining.borrow(),
            config_revision: state.config.load().revision,
            in_flight_requests: u32::try_from(state.in_flight.count()).unwrap_or(u32::MAX),
            ..StatusReply::default()
        }))
    }
}
