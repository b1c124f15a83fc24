//! Access to the load of a rank's engine, and loading of expert weights from the platform's weight
//! store into the engine.

use snafu::ResultExt;
use snafu::Snafu;

use crate::JsonError;
use crate::platform_client::PlatformClient;
use crate::protos::control::ExpertMap;
use crate::protos::control::ExpertReplica;
use crate::protos::control::LayerLoad;
use crate::protos::control::RankLoadReply;
use crate::rank_engine_client::RankEngineClient;
use crate::rank_engine_client::RankEngineError;

/// Why reading the load or loading weights failed.
#[derive(Debug, Snafu)]
pub(crate) enum RankWeightsError {
    /// A request to the engine failed.
    #[snafu(display("{step}: {source}"))]
    Engine {
        /// Step that failed.
        step: &'static str,
        /// What failed.
        source: RankEngineError,
    },
    /// Reading from the weight store failed.
    #[snafu(display("weights of expert {expert} of layer {layer}: {source}"))]
    Store {
        /// Layer of the expert.
        layer: u32,
        /// The expert.
        expert: u32,
        /// What failed.
        source: JsonError,
    },
}

/// Reads the load of a rank and loads weights into its engine.
#[derive(Debug, Clone)]
pub(crate) struct RankWeights {
    pub(crate) engine: RankEngineClient,
    pub(crate) platform: PlatformClient,
}

impl RankWeights {
    /// Reads the map in use, with its replicas if `with_replicas` is set, and the load of its experts
    /// on the rank.
    pub(crate) async fn load(
        &self,
        with_replicas: bool,
    ) -> Result<RankLoadReply, RankWeightsError> {
        let step = "read the map in use";
        let active = self.engine.active_map().await;
        let active = active.context(EngineSnafu { step })?;
        let step = "read the load";
        let load = self.engine.loads().await;
        let load = load.context(EngineSnafu { step })?;
        let layers = load.layers.into_iter();
        let replicas = active.replicas.iter().filter(|_| with_replicas);
        Ok(RankLoadReply {
            group_incarnation: active.group_incarnation,
            active: Some(ExpertMap {
                map_id: active.map_id,
                replicas: replicas.map(ExpertReplica::from).collect(),
            }),
            layers: layers
                .map(|tokens_per_s| LayerLoad { tokens_per_s })
                .collect(),
            slots_per_rank: active.slots_per_rank,
        })
    }

    /// Loads the weights of replicas one by one; returns the number of bytes loaded.
    pub(crate) async fn load_weights(
        &self,
        replicas: &[ExpertReplica],
    ) -> Result<u64, RankWeightsError> {
        let mut loaded_bytes = 0;
        for replica in replicas {
            let (layer, expert) = (replica.layer, replica.expert);
            let weights = self.platform.weights(layer, expert).await;
            let weights = weights.context(StoreSnafu { layer, expert })?;
            loaded_bytes += weights.len() as u64;
            let step = "send weights to the engine";
            let result = self.engine.put_weights(layer, expert, weights).await;
            result.context(EngineSnafu { step })?;
        }
        Ok(loaded_bytes)
    }
}
