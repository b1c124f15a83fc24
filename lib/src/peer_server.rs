//! gRPC service that every daemon offers to other pomeloramp processes and to operators.

use std::sync::Arc;

use futures::future::BoxFuture;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::actor::Actor;
use crate::config_actor::ConfigCommand;
use crate::config_actor::DocumentReport;
use crate::config_actor::SharedConfig;
use crate::config_follower::ServiceContact;
use crate::config_source::newer_changes;
use crate::in_flight::InFlightCounter;
use crate::incarnation::Incarnation;
use crate::protos::control::ExchangeReply;
use crate::protos::control::ExchangeRequest;
use crate::protos::control::IdleTime;
use crate::protos::control::MemberStatus;
use crate::protos::control::RankStatus;
use crate::protos::control::StatusReply;
use crate::protos::control::StatusRequest;
use crate::protos::control::peer_server::Peer;
use crate::shared_quarantine::SharedQuarantine;

/// State shared by the request handlers.
pub(crate) struct PeerState {
    pub(crate) vm_name: String,
    pub(crate) role: &'static str,
    pub(crate) incarnation: Incarnation,
    pub(crate) draining: watch::Receiver<bool>,
    pub(crate) config: SharedConfig,
    pub(crate) in_flight: InFlightCounter,
    pub(crate) config_actor: Actor<ConfigCommand>,
    pub(crate) service_contact: ServiceContact,
    pub(crate) quarantine: SharedQuarantine,
    /// Becomes true once the process serves.
    pub(crate) serving: watch::Receiver<bool>,
    /// Requests the part of the status that is specific to the role.
    pub(crate) role_status: Box<dyn Fn() -> BoxFuture<'static, RoleStatus> + Send + Sync>,
}

/// Part of the status that depends on the role.
#[derive(Debug, Default)]
pub(crate) struct RoleStatus {
    pub(crate) members: Vec<MemberStatus>,
    pub(crate) idle_times: Vec<IdleTime>,
    pub(crate) rank: Option<RankStatus>,
}

impl PeerState {
    async fn documents(&self) -> DocumentReport {
        let (reply, documents) = oneshot::channel();
        if let Err(error) = self.config_actor.submit(ConfigCommand::Documents { reply }) {
            log::warn!("status: {error}");
        }
        documents.await.unwrap_or_default()
    }
}

/// Serves exchanges with other processes and status requests.
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
        let from_vm = exchange.from_vm.clone();
        state
            .quarantine
            .apply_update(&from_vm, exchange.quarantine_news.as_ref());
        let changes = newer_changes(&state.config_actor, exchange)
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        let view = state.config.load();
        Ok(Response::new(ExchangeReply {
            vm_name: state.vm_name.clone(),
            incarnation: state.incarnation.0,
            config_revision: view.revision,
            config_digest: view.digest,
            newer: changes.values,
            quarantine_news: state.quarantine.update_for(&from_vm),
            leaving: *state.draining.borrow(),
            service_reached_ago_ms: state.service_contact.ago_ms(),
            starting: !*state.serving.borrow(),
            patches: changes.patches,
            has_more: changes.has_more,
        }))
    }

    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let state = &self.state;
        let documents = state.documents().await;
        let role_status = (state.role_status)().await;
        Ok(Response::new(StatusReply {
            vm_name: state.vm_name.clone(),
            role: state.role.to_owned(),
            incarnation: state.incarnation.0,
            draining: *state.draining.borrow(),
            config_revision: state.config.load().revision,
            in_flight_requests: u32::try_from(state.in_flight.count()).unwrap_or(u32::MAX),
            members: role_status.members,
            quarantined: state.quarantine.quarantined(),
            idle_times: role_status.idle_times,
            refused_documents: documents.refused,
            documents: documents.in_force,
            rank: role_status.rank,
        }))
    }
}
