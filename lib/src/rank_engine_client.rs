//! Orders about expert maps from an agent to the engine of its rank.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use pomeloramp_proc_macros::document;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::MapEngineReport;
use crate::MapOrder;
use crate::StagedMap;
use crate::http_client;
use crate::http_client::HttpError;
use crate::protos::control::ExpertReplica;
use crate::protos::settings::RankGroupSettings;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why an engine did not answer an order or a question.
#[derive(Debug, Snafu)]
pub(crate) enum RankEngineError {
    /// The exchange failed; an order may have taken effect.
    #[snafu(display("engine {peer}: {source}"))]
    Exchange {
        /// Address of the engine.
        peer: String,
        /// What failed.
        source: HttpError,
    },
    /// The engine gave the order to another run of the agent.
    #[snafu(display("engine {peer} refused fencing number {fencing}"))]
    Fenced {
        /// Address of the engine.
        peer: String,
        /// Number that the order carried.
        fencing: u64,
    },
    /// The engine answered with an error status.
    #[snafu(display("engine {peer} answered {path} with status {status}"))]
    Status {
        /// Address of the engine.
        peer: String,
        /// Path that was asked.
        path: String,
        /// HTTP status.
        status: u16,
    },
    /// The answer could not be read or parsed.
    #[snafu(display("engine {peer} answered {path} with an unreadable body: {reason}"))]
    Body {
        /// Address of the engine.
        peer: String,
        /// Path that was asked.
        path: String,
        /// What was wrong.
        reason: String,
    },
    /// No answer came in time; an order may have taken effect.
    #[snafu(display("engine {peer} did not answer {path} within {timeout_ms} ms"))]
    Timeout {
        /// Address of the engine.
        peer: String,
        /// Path that was asked.
        path: String,
        /// How long was waited.
        timeout_ms: u128,
    },
}

/// The replica of an expert, as engines write it.
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

/// The map that an engine uses, and what its model looks like.
#[document]
pub(crate) struct ActiveMapDocument {
    pub(crate) group_incarnation: u64,
    pub(crate) map_id: u64,
    pub(crate) slots_per_rank: u32,
    pub(crate) replicas: Vec<ReplicaDocument>,
}

/// Tokens a second of each expert on one rank, layer by layer.
#[document]
pub(crate) struct RankLoadDocument {
    pub(crate) layers: Vec<Vec<f64>>,
}

/// What an engine answers to an order.
#[derive(Debug)]
pub(crate) struct EngineAnswer {
    pub(crate) report: MapEngineReport,
    /// The highest fencing number that an order carried.
    pub(crate) newest_fencing: u64,
}

/// Reaches the engine of one rank.
#[derive(Debug, Clone)]
pub(crate) struct RankEngineClient {
    address: String,
    path: String,
    connect_timeout: Duration,
}

impl RankEngineClient {
    /// Creates a client for the engine that the settings name.
    pub(crate) fn new(settings: &RankGroupSettings, connect_timeout: Duration) -> Self {
        Self {
            address: settings.engine_address.clone(),
            path: settings.engine_path.clone(),
            connect_timeout,
        }
    }

    /// Gives an order and returns the engine's state after it.
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
        match answer {
            Ok(report) => Ok(EngineAnswer::from(report)),
            Err(RankEngineError::Status { peer, status, .. })
                if status == StatusCode::CONFLICT.as_u16() =>
            {
                Err(RankEngineError::Fenced { peer, fencing })
            }
            Err(error) => Err(error),
        }
    }

    /// Reads the map in use.
    pub(crate) async fn active_map(&self) -> Result<ActiveMapDocument, RankEngineError> {
        self.exchange(Method::GET, "/map", Bytes::new()).await
    }

    /// Reads the load of the experts on the rank.
    pub(crate) async fn loads(&self) -> Result<RankLoadDocument, RankEngineError> {
        self.exchange(Method::GET, "/loads", Bytes::new()).await
    }

    /// Hands over the weights of one expert of one layer.
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
        let answer = self.answer(method, &path, body);
        let body = tokio::time::timeout(ANSWER_TIMEOUT, answer)
            .await
            .unwrap_or_else(|_| {
                Err(RankEngineError::Timeout {
                    peer: self.address.clone(),
                    path: path.clone(),
                    timeout_ms: ANSWER_TIMEOUT.as_millis(),
                })
            })?;
        serde_json::from_slice(&body).map_err(|error| self.unreadable(&path, &error))
    }

    async fn answer(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, RankEngineError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, &self.address)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| self.unreadable(path, &error))?;
        let response = http_client::send(&self.address, self.connect_timeout, request)
            .await
            .map_err(|source| RankEngineError::Exchange {
                peer: self.address.clone(),
                source,
            })?;
        let status = response.status();
        if !status.is_success() {
            return Err(RankEngineError::Status {
                peer: self.address.clone(),
                path: path.to_owned(),
                status: status.as_u16(),
            });
        }
        http_client::read_body(response, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| self.unreadable(path, &error))
    }

    fn unreadable(&self, path: &str, reason: &impl ToString) -> RankEngineError {
        RankEngineError::Body {
            peer: self.address.clone(),
            path: path.to_owned(),
            reason: reason.to_string(),
        }
    }
}

impl From<&MapOrder> for OrderKind {
    fn from(order: &MapOrder) -> Self {
        match order {
            MapOrder::Read => Self::Read,
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
                held: report.held,
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
