//! HTTP client of the interface that an engine offers to the agent of its rank.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use pomeloramp_proc_macros::document;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

use crate::JsonClient;
use crate::JsonError;
use crate::MapEngineReport;
use crate::MapOrder;
use crate::StagedMap;
use crate::protos::control::ExpertReplica;
use crate::protos::settings::RankGroupSettings;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reason for which a request to an engine failed.
#[derive(Debug, Snafu)]
pub(crate) enum RankEngineError {
    /// The HTTP exchange failed; an order may nevertheless have taken effect.
    #[snafu(display("engine: {source}"))]
    Exchange {
        /// The cause.
        source: JsonError,
    },
    /// The engine rejected the order because it has seen a higher fencing token, that of a later
    /// agent process.
    #[snafu(display("engine {peer} refused fencing token {fencing}"))]
    Fenced {
        /// Address of the engine.
        peer: String,
        /// Fencing token of the order.
        fencing: u64,
    },
}

/// The JSON form of an expert replica.
#[document]
pub(crate) struct ReplicaDocument {
    layer: u32,
    expert: u32,
    rank: u32,
}

#[document]
struct OrderDocument {
    fencing: u64,
    order: OrderKind,
}

#[document]
#[serde(tag = "kind", rename_all = "kebab-case")]
enum OrderKind {
    Read,
    Stage {
        map_id: u64,
        switch_step: u64,
        replicas: Vec<ReplicaDocument>,
    },
    Commit {
        map_id: u64,
    },
    Release {
        map_id: u64,
    },
}

#[document]
struct StagedDocument {
    map_id: u64,
    switch_step: u64,
    committed: bool,
}

#[document]
struct ReportDocument {
    group_incarnation: u64,
    step: u64,
    active_map_id: u64,
    staged: Option<StagedDocument>,
    held: bool,
    newest_fencing: u64,
}

/// The map that an engine uses, and the number of expert slots per rank.
#[document]
pub(crate) struct ActiveMapDocument {
    pub(crate) group_incarnation: u64,
    pub(crate) map_id: u64,
    pub(crate) slots_per_rank: u32,
    pub(crate) replicas: Vec<ReplicaDocument>,
}

/// Load of the experts on one rank, in tokens per second, by layer and expert.
#[document]
pub(crate) struct RankLoadDocument {
    pub(crate) layers: Vec<Vec<f64>>,
}

/// An engine's answer to an order.
#[derive(Debug)]
pub(crate) struct EngineAnswer {
    pub(crate) report: MapEngineReport,
    /// The highest fencing token that the engine has seen.
    pub(crate) newest_fencing: u64,
}

/// Client for the engine of one rank.
#[derive(Debug, Clone)]
pub(crate) struct RankEngineClient {
    client: JsonClient,
    path: String,
}

impl RankEngineClient {
    /// Creates a client for the engine that the settings specify.
    pub(crate) fn new(settings: &RankGroupSettings, connect_timeout: Duration) -> Self {
        Self {
            client: JsonClient::new(&settings.engine_address, connect_timeout, MAX_ANSWER_BYTES),
            path: settings.engine_path.clone(),
        }
    }

    /// Sends an order and returns the engine's state after it.
    pub(crate) async fn order(
        &self,
        order: &MapOrder,
        fencing: u64,
    ) -> Result<EngineAnswer, RankEngineError> {
        let document = OrderDocument {
            fencing,
            order: OrderKind::from(order),
        };
        let body = serde_json::to_vec(&document).expect("orders serialise");
        let answer: Result<ReportDocument, _> = self
            .exchange(Method::POST, "/orders", Bytes::from(body))
            .await;
        answer.map(EngineAnswer::from).map_err(|error| match error {
            RankEngineError::Exchange {
                source: JsonError::Status { peer, status, .. },
            } if status == StatusCode::CONFLICT.as_u16() => {
                RankEngineError::Fenced { peer, fencing }
            }
            error => error,
        })
    }

    /// Reads the map that the engine uses.
    pub(crate) async fn active_map(&self) -> Result<ActiveMapDocument, RankEngineError> {
        self.exchange(Method::GET, "/map", Bytes::new()).await
    }

    /// Reads the load of the experts on the rank.
    pub(crate) async fn loads(&self) -> Result<RankLoadDocument, RankEngineError> {
        self.exchange(Method::GET, "/loads", Bytes::new()).await
    }

    /// Uploads the weights of one expert of one layer to the engine.
    pub(crate) async fn put_weights(
        &self,
        layer: u32,
        expert: u32,
        weights: Bytes,
    ) -> Result<(), RankEngineError> {
        let path = format!("/weights/{layer}/{expert}");
        let _: serde_json::Value = self.exchange(Method::PUT, &path, weights).await?;
        Ok(())
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, RankEngineError> {
        let path = format!("{}{path}", self.path);
        self.client
            .send(method, &path, body, ANSWER_TIMEOUT)
            .await
            .context(ExchangeSnafu)
    }
}

impl From<&MapOrder> for OrderKind {
    fn from(order: &MapOrder) -> Self {
        match order {
            // The engine executes orders of an earlier connection before it answers on a later one.
            MapOrder::Read | MapOrder::Confirm { .. } => Self::Read,
            MapOrder::Stage { map, switch_step } => Self::Stage {
                map_id: map.map_id,
                switch_step: *switch_step,
                replicas: map.replicas.iter().map(ReplicaDocument::from).collect(),
            },
            MapOrder::Commit { map_id } => Self::Commit { map_id: *map_id },
            MapOrder::Release { map_id } => Self::Release { map_id: *map_id },
        }
    }
}

impl From<ReportDocument> for EngineAnswer {
    fn from(report: ReportDocument) -> Self {
        Self {
            newest_fencing: report.newest_fencing,
            report: MapEngineReport {
                group_incarnation: report.group_incarnation,
                step: report.step,
                active_map_id: report.active_map_id,
                staged: report.staged.map(|staged| StagedMap {
                    map_id: staged.map_id,
                    switch_step: staged.switch_step,
                    committed: staged.committed,
                }),
                is_held: report.held,
                may_be_released_late: false,
            },
        }
    }
}

impl From<&ExpertReplica> for ReplicaDocument {
    fn from(replica: &ExpertReplica) -> Self {
        Self {
            layer: replica.layer,
            expert: replica.expert,
            rank: replica.rank,
        }
    }
}

impl From<&ReplicaDocument> for ExpertReplica {
    fn from(replica: &ReplicaDocument) -> Self {
        Self {
            layer: replica.layer,
            expert: replica.expert,
            rank: replica.rank,
        }
    }
}
