//! Server of the `RankGroup` service, which the agents of the other ranks call.

use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::MapReply;
use crate::MapRequest;
use crate::RankAddress;
use crate::actor::Actor;
use crate::protos::control::DecideMapReply;
use crate::protos::control::DecideMapRequest;
use crate::protos::control::LoadWeightsReply;
use crate::protos::control::LoadWeightsRequest;
use crate::protos::control::MapStateReply;
use crate::protos::control::MapStateRequest;
use crate::protos::control::PrepareMapReply;
use crate::protos::control::PrepareMapRequest;
use crate::protos::control::RankLoadReply;
use crate::protos::control::RankLoadRequest;
use crate::protos::control::rank_group_server::RankGroup;
use crate::rank_command::RankCommand;
use crate::rank_weights::RankWeights;

/// Implements the `RankGroup` service for one rank.
#[derive(Clone)]
pub(crate) struct RankServer {
    pub(crate) address: RankAddress,
    pub(crate) actor: Actor<RankCommand>,
    pub(crate) weights: RankWeights,
}

/// Passes a request to the actor of the rank and waits for its reply.
pub(crate) async fn handle_request(
    actor: &Actor<RankCommand>,
    request: MapRequest,
) -> Result<MapReply, Status> {
    let (reply, reply_receiver) = oneshot::channel();
    actor
        .submit(RankCommand::Request { request, reply })
        .map_err(|error| Status::resource_exhausted(error.to_string()))?;
    reply_receiver
        .await
        .map_err(|_| Status::unavailable("the duty of the rank has ended"))
}

fn wrong_reply_type() -> Status {
    Status::internal("the duty of the rank answered another request")
}

#[tonic::async_trait]
impl RankGroup for RankServer {
    async fn prepare_map(
        &self,
        request: Request<PrepareMapRequest>,
    ) -> Result<Response<PrepareMapReply>, Status> {
        let request = MapRequest::Prepare(self.address.accept(request)?);
        match handle_request(&self.actor, request).await? {
            MapReply::Prepare(reply) => Ok(Response::new(reply)),
            MapReply::Decide(_) | MapReply::State(_) => Err(wrong_reply_type()),
        }
    }

    async fn decide_map(
        &self,
        request: Request<DecideMapRequest>,
    ) -> Result<Response<DecideMapReply>, Status> {
        let request = MapRequest::Decide(self.address.accept(request)?);
        match handle_request(&self.actor, request).await? {
            MapReply::Decide(reply) => Ok(Response::new(reply)),
            MapReply::Prepare(_) | MapReply::State(_) => Err(wrong_reply_type()),
        }
    }

    async fn map_state(
        &self,
        request: Request<MapStateRequest>,
    ) -> Result<Response<MapStateReply>, Status> {
        let request = MapRequest::State(self.address.accept(request)?);
        match handle_request(&self.actor, request).await? {
            MapReply::State(reply) => Ok(Response::new(reply)),
            MapReply::Prepare(_) | MapReply::Decide(_) => Err(wrong_reply_type()),
        }
    }

    async fn rank_load(
        &self,
        request: Request<RankLoadRequest>,
    ) -> Result<Response<RankLoadReply>, Status> {
        let request = self.address.accept(request)?;
        let load = self.weights.load(request.with_replicas).await;
        load.map(Response::new)
            .map_err(|error| Status::unavailable(error.to_string()))
    }

    async fn load_weights(
        &self,
        request: Request<LoadWeightsRequest>,
    ) -> Result<Response<LoadWeightsReply>, Status> {
        let replicas = self.address.accept(request)?.replicas;
        let loaded_bytes = self
            .weights
            .load_weights(&replicas)
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(Response::new(LoadWeightsReply { loaded_bytes }))
    }
}
