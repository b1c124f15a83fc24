//! The interface between a rank's agent and its engine, for ranks that entries call directly.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::EngineOrder;
use crate::GroupModel;
use crate::OrderResult;
use crate::OrderTerms;
use crate::RankReport;

/// How often an engine has chosen each expert since it started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExpertChoices {
    /// Choices of each expert, ordered by set, then by expert.
    pub counts: Vec<u64>,
}

/// The engine's answer, or the reason why there is none.
pub type EngineReply<T> = BoxFuture<'static, Result<T, String>>;

/// Reads the report of an engine.
pub type ReadReport = dyn Fn() -> EngineReply<RankReport> + Send + Sync;
/// Reads the choices that an engine has counted.
pub type ReadChoices = dyn Fn() -> EngineReply<ExpertChoices> + Send + Sync;
/// Reads the id of the map in use and the rank's experts in it, set by set.
pub type ReadExperts = dyn Fn() -> EngineReply<(u64, Vec<Vec<u32>>)> + Send + Sync;
/// Sends an order with its terms.
pub type SendOrder =
    dyn Fn(EngineOrder, OrderTerms) -> BoxFuture<'static, OrderResult> + Send + Sync;
/// Reads the published group model; `None` for an endpoint without one.
pub type ReadModel = dyn Fn() -> EngineReply<Option<GroupModel>> + Send + Sync;

/// The interface between a rank's agent and its engine, as functions of the platform's adapter.
#[derive(Clone)]
pub struct DirectEngine {
    /// Reads the report of the engine.
    pub report: Arc<ReadReport>,
    /// Reads the choices that the engine has counted.
    pub choices: Arc<ReadChoices>,
    /// Reads the experts of the rank in the map in use.
    pub experts: Arc<ReadExperts>,
    /// Sends an order.
    pub order: Arc<SendOrder>,
    /// Reads the published group model.
    pub model: Arc<ReadModel>,
}
