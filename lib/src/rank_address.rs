//! Addressing of requests between the agents of a rank group.

use tonic::Request;
use tonic::Status;
use tonic::transport::Channel;
use xxhash_rust::xxh3::xxh3_64;

use crate::MapReply;
use crate::MapRequest;
use crate::protos::control::rank_group_client::RankGroupClient;

const METADATA_KEY: &str = "pomeloramp-rank";

/// Identifies one rank of one group, together with the group size that the sender assumes.
///
/// A decision requires exactly one reply from every rank. Therefore an agent rejects requests that
/// carry another address: its settings differ from the sender's, or the sender has mixed up the
/// socket addresses of two agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankAddress {
    /// Name of the group.
    pub group: String,
    /// The rank.
    pub rank: usize,
    /// Number of ranks in the group.
    pub rank_count: usize,
}

impl RankAddress {
    /// Creates a gRPC request that carries a digest of the address in its metadata.
    pub(crate) fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Ok(digest) = self.digest().parse() {
            request.metadata_mut().insert(METADATA_KEY, digest);
        }
        request
    }

    /// Sends a request to the agent of this rank and returns the reply.
    ///
    /// # Errors
    ///
    /// Fails when the agent is unreachable or serves another rank.
    pub async fn send_request(
        &self,
        client: &mut RankGroupClient<Channel>,
        request: MapRequest,
    ) -> Result<MapReply, Status> {
        let reply = match request {
            MapRequest::Prepare(request) => {
                let reply = client.prepare_map(self.request(request)).await?;
                MapReply::Prepare(reply.into_inner())
            }
            MapRequest::Decide(request) => {
                let reply = client.decide_map(self.request(request)).await?;
                MapReply::Decide(reply.into_inner())
            }
            MapRequest::State(request) => {
                let reply = client.map_state(self.request(request)).await?;
                MapReply::State(reply.into_inner())
            }
        };
        Ok(reply)
    }

    /// Returns the message of a request, or an error if the request is addressed to another rank.
    pub(crate) fn accept<T>(&self, request: Request<T>) -> Result<T, Status> {
        let digest = request.metadata().get(METADATA_KEY);
        let digest = digest.and_then(|digest| digest.to_str().ok());
        if digest != Some(self.digest().as_str()) {
            return Err(Status::failed_precondition(format!(
                "this is rank {} of {} of group \"{}\", and the request is for another",
                self.rank, self.rank_count, self.group
            )));
        }
        Ok(request.into_inner())
    }

    fn digest(&self) -> String {
        let text = format!("{}/{}/{}", self.rank, self.rank_count, self.group);
        format!("{:016x}", xxh3_64(text.as_bytes()))
    }
}
