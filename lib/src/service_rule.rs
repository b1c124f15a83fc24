//! The configuration of one service in a route table.

use pomeloramp_proc_macros::document;

use crate::EngineModel;

/// The configuration of one service in a route table.
#[document]
pub struct ServiceRule {
    /// Name of the service.
    pub name: String,
    /// Most connections that one endpoint accepts from all clients together.
    pub max_connections: u32,
    /// Timing model of the engines; absent for services without a model engine.
    pub engine: Option<EngineModel>,
}
