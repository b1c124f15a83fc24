//! Plans the expert map of a group: reads loads, loads weights and proposes the map.
//!
//! Every agent runs the planner, but it plans only while no agent of a lower rank answers, so that
//! work is not done twice. Two agents that plan at the same time do no harm.

use std::collections::HashSet;
use std::time::Duration;

use futures::future::try_join_all;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tonic::Status;

use crate::Clock;
use crate::ExpertLayout;
use crate::ExpertLoad;
use crate::ExpertPlanner;
use crate::LoadTracker;
use crate::MapOutcome;
use crate::MapReply;
use crate::MapRequest;
use crate::PlanLimits;
use crate::RebalancePlan;
use crate::WeightRateLimiter;
use crate::config_actor::SharedConfig;
use crate::event;
use crate::protos::control::ExpertReplica;
use crate::protos::control::LoadWeightsRequest;
use crate::protos::control::MapStateRequest;
use crate::protos::control::RankLoadReply;
use crate::protos::control::RankLoadRequest;
use crate::protos::settings::RankGroupSettings;
use crate::protos::template::RebalanceParameters;
use crate::rank_command::MapProposal;
use crate::rank_command::RankCommand;
use crate::rank_transport::RankPeers;

/// Time constant of the smoothing of the load, in seconds.
const SMOOTHING_S: f64 = 60.0;
/// Time, in seconds, over which the group may accumulate its unused share of the weight store's
/// rate.
const BURST_S: u64 = 60;
const RATE_LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);
const WEIGHTS_TIMEOUT: Duration = Duration::from_mins(2);
const PROPOSAL_TIMEOUT: Duration = Duration::from_mins(1);

/// Why a planning round failed.
#[derive(Debug, Snafu)]
pub(crate) enum PlanError {
    /// A request to the agent of a rank failed.
    #[snafu(display("{step} of rank {rank}: {}", status.message()))]
    Rank {
        /// Step that failed.
        step: &'static str,
        /// The rank.
        rank: usize,
        /// Status that the agent returned, or the failure of the connection.
        #[snafu(source(from(Status, Box::new)))]
        status: Box<Status>,
    },
    /// The ranks report different maps, as they do during a change of maps.
    #[snafu(display("rank {rank} uses a different map from rank 0"))]
    MapsDiffer {
        /// The rank.
        rank: usize,
    },
    /// The map in use does not fit the ranks and their slots.
    #[snafu(display(
        "map {map_id:#x} does not fit {rank_count} ranks with {slots_per_rank} slots each"
    ))]
    MapMismatch {
        /// Id of the map.
        map_id: u64,
        /// Number of ranks.
        rank_count: usize,
        /// Slots of a rank, per layer.
        slots_per_rank: usize,
    },
    /// The thread that searched for a plan panicked or was cancelled.
    #[snafu(display("the search for a plan was aborted"))]
    SearchAborted,
    /// The proposal was abandoned, was not taken by the coordinator, or timed out.
    #[snafu(display("the proposal was abandoned, or another proposal was in progress"))]
    ProposalAbandoned,
}

/// The planner of expert maps in the agent of a rank.
pub(crate) struct RankPlanner {
    pub(crate) clock: Clock,
    pub(crate) settings: RankGroupSettings,
    pub(crate) service: String,
    pub(crate) config: SharedConfig,
    pub(crate) peers: RankPeers,
}

/// Layout in use and load of a group.
struct GroupLoad {
    layout: ExpertLayout,
    load: ExpertLoad,
}

impl RankPlanner {
    /// Plans at the configured interval until `closing` becomes true; never if the interval is zero.
    pub(crate) async fn run(self, mut closing: watch::Receiver<bool>) {
        let interval = Duration::from_millis(self.settings.plan_interval_ms);
        if interval.is_zero() {
            return;
        }
        tokio::select! {
            () = self.plan_repeatedly(interval) => {}
            _ = closing.wait_for(|closing| *closing) => {}
        }
    }

    async fn plan_repeatedly(&self, interval: Duration) {
        let share_bytes_per_s = self.settings.weight_share_bytes_per_s;
        let mut limiter = WeightRateLimiter::builder()
            .share_bytes_per_s(share_bytes_per_s)
            .burst_bytes(share_bytes_per_s.saturating_mul(BURST_S))
            .now_ms(self.clock.now_ms())
            .build();
        let mut tracker = LoadTracker::new(SMOOTHING_S);
        let mut last_sample = Instant::now();
        loop {
            tokio::time::sleep(interval).await;
            if !self.is_lowest_live().await {
                continue;
            }
            let sample_interval = last_sample.elapsed();
            last_sample = Instant::now();
            match self
                .round(&mut tracker, &mut limiter, sample_interval)
                .await
            {
                Ok(()) => {}
                Err(error @ PlanError::MapsDiffer { .. }) => log::debug!("no plan: {error}"),
                Err(error) => event!(PlanFailed, "group={}: {error}", self.settings.group),
            }
        }
    }

    /// Returns whether no agent of a lower rank answers.
    async fn is_lowest_live(&self) -> bool {
        for rank in 0..self.peers.own_rank {
            let request = MapRequest::State(MapStateRequest::default());
            if self.peers.send_request(rank, request).await.is_ok() {
                return false;
            }
        }
        true
    }

    /// Returns whether this rank has a map that is staged or committed but not yet switched to; also
    /// true if the state cannot be read.
    async fn is_changing(&self) -> bool {
        let request = MapRequest::State(MapStateRequest::default());
        match self.peers.send_request(self.peers.own_rank, request).await {
            Ok(MapReply::State(state)) => state.switch_step != 0,
            Ok(MapReply::Prepare(_) | MapReply::Decide(_)) | Err(_) => true,
        }
    }

    /// Runs one planning round: reads the loads, searches for a plan, loads its weights and proposes
    /// its map.
    async fn round(
        &self,
        tracker: &mut LoadTracker,
        limiter: &mut WeightRateLimiter,
        sample_interval: Duration,
    ) -> Result<(), PlanError> {
        let group = self.group_load().await?;
        tracker.observe(&group.load, sample_interval.as_secs_f64());
        let interval_s = Duration::from_millis(self.settings.plan_interval_ms).as_secs_f64();
        let load = tracker.forecast(interval_s).unwrap_or(group.load);
        let limits = PlanLimits {
            drift_horizon_s: tracker.drift_horizon_s(),
            available_bytes: limiter.available_bytes(self.clock.now_ms()),
        };
        if self.is_changing().await {
            return Ok(());
        }
        let layout = group.layout;
        let Some(plan) = self.search(layout.clone(), load, limits).await? else {
            return Ok(());
        };
        self.load_weights(&layout, &plan, limiter).await?;
        if self.is_changing().await {
            // Another planner's map was staged in the meantime, and the plan does not start from it.
            return Ok(());
        }
        let outcome = self.propose(&plan).await?;
        event!(
            PlanEnded,
            "group={} moves={} skew_before={:.3} skew_after={:.3}: {outcome}",
            self.settings.group,
            plan.moves,
            plan.skew_before,
            plan.skew_after
        );
        Ok(())
    }

    /// Reads the loads of all ranks, which must use the same map.
    async fn group_load(&self) -> Result<GroupLoad, PlanError> {
        let ranks = 0..self.peers.rank_count();
        let replies = try_join_all(ranks.map(|rank| self.rank_load(rank))).await?;
        let map_of = |reply: &RankLoadReply| {
            let map_id = reply.active.as_ref().map(|active| active.map_id);
            (reply.group_incarnation, map_id)
        };
        let is_same = |reply: &RankLoadReply| map_of(reply) == map_of(&replies[0]);
        if let Some(rank) = replies.iter().position(|reply| !is_same(reply)) {
            return MapsDifferSnafu { rank }.fail();
        }
        let load = total_load(&replies);
        let active = replies[0].active.clone().unwrap_or_default();
        let slots_per_rank = replies[0].slots_per_rank as usize;
        let rank_count = replies.len();
        let layout = ExpertLayout::builder()
            .layer_count(load.layers().len())
            .rank_count(rank_count)
            .slots_per_rank(slots_per_rank)
            .replicas(&active.replicas)
            .build()
            .context(MapMismatchSnafu {
                map_id: active.map_id,
                rank_count,
                slots_per_rank,
            })?;
        Ok(GroupLoad { layout, load })
    }

    async fn rank_load(&self, rank: usize) -> Result<RankLoadReply, PlanError> {
        let step = "read the load";
        let mut client = self.peers.client(rank).context(RankSnafu { step, rank })?;
        let with_replicas = rank == 0;
        let message = RankLoadRequest { with_replicas };
        let mut request = self.peers.address(rank).request(message);
        request.set_timeout(LOAD_TIMEOUT);
        let reply = client.rank_load(request).await;
        Ok(reply.context(RankSnafu { step, rank })?.into_inner())
    }

    /// Searches for a plan on a blocking thread, because the search may take a second.
    async fn search(
        &self,
        layout: ExpertLayout,
        load: ExpertLoad,
        limits: PlanLimits,
    ) -> Result<Option<RebalancePlan>, PlanError> {
        let planner = ExpertPlanner::builder()
            .parameters(self.parameters())
            .expert_bytes(self.settings.expert_bytes)
            .share_bytes_per_s(self.settings.weight_share_bytes_per_s)
            .build();
        tokio::task::spawn_blocking(move || planner.plan(&layout, &load, limits))
            .await
            .ok()
            .context(SearchAbortedSnafu)
    }

    fn parameters(&self) -> RebalanceParameters {
        let view = self.config.load();
        let service = view.service(&self.service);
        service
            .and_then(|service| service.template().rebalance)
            .unwrap_or_default()
    }

    /// Loads the replicas of the plan that ranks do not hold yet, within the group's share of the
    /// weight store's rate.
    async fn load_weights(
        &self,
        layout: &ExpertLayout,
        plan: &RebalancePlan,
        limiter: &mut WeightRateLimiter,
    ) -> Result<(), PlanError> {
        let present: HashSet<_> = layout.replicas().iter().map(replica_key).collect();
        for replica in plan.layout.replicas() {
            if present.contains(&replica_key(&replica)) {
                continue;
            }
            while !limiter.take(self.settings.expert_bytes, self.clock.now_ms()) {
                tokio::time::sleep(RATE_LIMIT_POLL_INTERVAL).await;
            }
            self.load_on_rank(replica).await?;
        }
        Ok(())
    }

    async fn load_on_rank(&self, replica: ExpertReplica) -> Result<(), PlanError> {
        let step = "load weights";
        let rank = replica.rank as usize;
        let mut client = self.peers.client(rank).context(RankSnafu { step, rank })?;
        let replicas = vec![replica];
        let message = LoadWeightsRequest { replicas };
        let mut request = self.peers.address(rank).request(message);
        request.set_timeout(WEIGHTS_TIMEOUT);
        let reply = client.load_weights(request).await;
        reply.context(RankSnafu { step, rank })?;
        Ok(())
    }

    async fn propose(&self, plan: &RebalancePlan) -> Result<MapOutcome, PlanError> {
        let (outcome_sender, outcome) = oneshot::channel();
        let proposal = MapProposal {
            replicas: plan.layout.replicas(),
            ..MapProposal::default()
        };
        let proposal = RankCommand::Propose {
            proposal,
            outcome_sender,
        };
        self.peers
            .actor
            .submit(proposal)
            .ok()
            .context(ProposalAbandonedSnafu)?;
        let outcome = tokio::time::timeout(PROPOSAL_TIMEOUT, outcome).await;
        outcome
            .ok()
            .and_then(Result::ok)
            .context(ProposalAbandonedSnafu)
    }
}

/// Sums the loads of all ranks per expert.
fn total_load(replies: &[RankLoadReply]) -> ExpertLoad {
    let mut layers: Vec<Vec<f64>> = Vec::new();
    for reply in replies {
        for (layer, load) in reply.layers.iter().enumerate() {
            if layers.len() <= layer {
                layers.push(vec![0.0; load.tokens_per_s.len()]);
            }
            for (total, tokens_per_s) in layers[layer].iter_mut().zip(&load.tokens_per_s) {
                *total += tokens_per_s;
            }
        }
    }
    ExpertLoad::new(layers)
}

fn replica_key(replica: &ExpertReplica) -> (u32, u32, u32) {
    (replica.layer, replica.expert, replica.rank)
}
