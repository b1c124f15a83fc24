//! The rank that a message between the agents of a group is meant for.

use tonic::Request;
use tonic::Status;
use xxhash_rust::xxh3::xxh3_64;

const METADATA_KEY: &str = "pomeloramp-rank";

/// Names one rank of one group, and how many ranks the sender takes the group to have.
///
/// A decision needs every rank once. An agent whose settings differ, or whose address was mixed
/// up with another's, therefore answers nothing.
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
    /// Makes a request that carries the address.
    pub fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Ok(digest) = self.digest().parse() {
            request.metadata_mut().insert(METADATA_KEY, digest);
        }
        request
    }

    /// Takes the message of a request that is meant for this rank.
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
