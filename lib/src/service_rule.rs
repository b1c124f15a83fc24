//! What a route table says of one service.

use pomeloramp_proc_macros::document;

use crate::EngineModel;

/// What a route table says of one service.
#[document]
pub struct ServiceRule {
    /// Name of the service.
    pub name: String,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Model of the engines; absent for plain services.
    pub engine: Option<EngineModel>,
}
