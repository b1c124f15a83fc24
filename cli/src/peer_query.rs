//! Asking running processes for their status.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_lib::protos::control::StatusRequest;
use pomeloramp_lib::protos::control::peer_client::PeerClient;
use snafu::ResultExt;
use tonic::transport::Endpoint;

use crate::ctl_error::ConnectSnafu;
use crate::ctl_error::CtlError;
use crate::ctl_error::StatusSnafu;
use crate::peer_options::PeerOptions;

/// What the processes answered.
#[derive(Debug)]
pub(crate) struct PeerAnswers {
    /// One answer for each process, by its name.
    pub(crate) statuses: Vec<StatusReply>,
    /// Processes that did not answer.
    pub(crate) failures: Vec<CtlError>,
}

/// Asks all peers at once.
pub(crate) async fn ask_peers(options: &PeerOptions) -> PeerAnswers {
    let questions = options
        .peers
        .iter()
        .map(|peer| ask_peer(*peer, options.timeout));
    // A process that was given twice must not count twice.
    let mut by_process = BTreeMap::new();
    let mut failures = Vec::new();
    for answer in join_all(questions).await {
        match answer {
            Ok(status) => {
                by_process.insert((status.vm_name.clone(), status.incarnation), status);
            }
            Err(error) => failures.push(error),
        }
    }
    PeerAnswers {
        statuses: by_process.into_values().collect(),
        failures,
    }
}

async fn ask_peer(peer: SocketAddr, timeout: Duration) -> Result<StatusReply, CtlError> {
    let endpoint = Endpoint::from_shared(format!("http://{peer}"))
        .context(ConnectSnafu { peer })?
        .connect_timeout(timeout)
        .timeout(timeout);
    let channel = endpoint.connect().await.context(ConnectSnafu { peer })?;
    let reply = PeerClient::new(channel)
        .status(StatusRequest {})
        .await
        .map_err(Box::new)
        .context(StatusSnafu { peer })?;
    Ok(reply.into_inner())
}
