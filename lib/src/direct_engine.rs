//! How an agent of the direct path reaches the engine beside it.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::EngineOrder;
use crate::GroupModel;
use crate::OrderResult;
use crate::RankReport;

/// The choices that an engine has counted since it was started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExpertChoices {
    /// Choices of each expert, set by set.
    pub counts: Vec<u64>,
}

/// Answer of the adapter, with the reason when there is none.
pub type EngineReply<T> = BoxFuture<'static, Result<T, String>>;

/// Reads the report of the engine.
pub type ReadReport = dyn Fn() -> EngineReply<RankReport> + Send + Sync;
/// Reads the choices that the engine has counted.
pub type ReadChoices = dyn Fn() -> EngineReply<ExpertChoices> + Send + Sync;
/// Reads the experts of the rank in the map in use, with the map's id, set by set.
pub type ReadExperts = dyn Fn() -> EngineReply<(u64, Vec<Vec<u32>>)> + Send + Sync;
/// Gives an order for a formation of the group, with a fencing number.
pub type SendOrder = dyn Fn(EngineOrder, u64, u64) -> BoxFuture<'static, OrderResult> + Send + Sync;
/// Reads the published sizes of the experts; absent for an endpoint without them.
pub type ReadModel = dyn Fn() -> EngineReply<Option<GroupModel>> + Send + Sync;

/// How an agent of the direct path reaches the engine beside it, as functions of the adapter.
#[derive(Clone)]
pub struct DirectEngine {
    /// Reads the report of the engine.
    pub report: Arc<ReadReport>,
    /// Reads the choices that the engine has counted.
    pub choices: Arc<ReadChoices>,
    /// Reads the experts of the rank in the map in use.
    pub experts: Arc<ReadExperts>,
    /// Gives an order.
    pub order: Arc<SendOrder>,
    /// Reads the published sizes of the experts.
    pub model: Arc<ReadModel>,
}
