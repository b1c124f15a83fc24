//! Coordinator of the two-phase switch to a new expert map.
//!
//! `docs/design/expert_maps.md` explains why the protocol is safe.

use crate::CoordinatorRequest;
use crate::MapOutcome;
use crate::MapReply;
use crate::MapRequest;
use crate::map_ballot::next_ballot;
use crate::protos::control::DecideMapRequest;
use crate::protos::control::ExpertMap;
use crate::protos::control::ExpertReplica;
use crate::protos::control::MapRefusal;
use crate::protos::control::MapStateReply;
use crate::protos::control::MapStateRequest;
use crate::protos::control::PrepareMapRequest;

const RESEND_INTERVAL_MS: u64 = 100;
const PREPARE_TIMEOUT_MS: u64 = 600;
const RETRY_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_FACTOR: u64 = 6;
const RETRY_JITTER_MS: u64 = 97;

/// Proposes one expert map to all ranks of a group, or decides maps that other coordinators left
/// undecided.
///
/// The coordinator performs no I/O: its driver sends the requests that it returns and passes the
/// replies back. Several coordinators may run concurrently, and each may stop at any point. At
/// worst, the group waits until one of them has received replies from every rank.
#[derive(Debug, bon::Builder)]
pub struct MapCoordinator {
    /// Incarnation of the rank group that the requests are addressed to.
    group_incarnation: u64,
    /// Number of ranks in the group.
    rank_count: usize,
    /// Random number of this coordinator, which makes its ballots unique.
    nonce: u32,
    /// Number of steps from the furthest rank's step to the switch step of a proposal.
    lead_steps: u64,
    /// Replicas of the map to propose; without them the coordinator only decides undecided maps.
    proposal: Option<Vec<ExpertReplica>>,
    /// Id of the proposed map if the ranks have already copied it; otherwise the coordinator picks
    /// an id.
    map_id: Option<u64>,
    /// Lower bound for the furthest rank's step, known to the proposer in advance.
    #[builder(default)]
    min_step: u64,
    #[builder(skip)]
    proposed_map: Option<ProposedMap>,
    #[builder(skip)]
    phase: Phase,
    #[builder(skip)]
    /// Id of the first request of the phase; replies to earlier requests are ignored.
    phase_first_call_id: u64,
    #[builder(skip)]
    next_call_id: u64,
    #[builder(skip)]
    phase_started_ms: u64,
    #[builder(skip)]
    resend_at_ms: u64,
    #[builder(skip)]
    highest_ballot: u64,
    #[builder(skip)]
    ballot: u64,
    #[builder(skip)]
    retries: u64,
    #[builder(skip)]
    agent_incarnations: Vec<u64>,
    #[builder(skip)]
    replies: Vec<Option<MapReply>>,
    #[builder(skip)]
    outcome: Option<MapOutcome>,
}

/// The map that the coordinator has proposed.
#[derive(Debug)]
struct ProposedMap {
    map: ExpertMap,
    switch_step: u64,
}

/// Progress of the coordinator through the protocol.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Phase {
    #[default]
    Idle,
    /// Reads the agent incarnations and undecided maps of all ranks, without a ballot.
    Reading,
    /// Collects promises for the proposed map.
    Preparing,
    /// Requests the state of one map from every rank under a new ballot.
    Recovering {
        map_id: u64,
    },
    /// Sends the decision to every rank.
    Deciding {
        map_id: u64,
        commit: bool,
    },
    /// Backs off before the next `Reading` phase.
    Waiting {
        until_ms: u64,
    },
    Done,
}

impl MapCoordinator {
    /// Starts the coordinator and returns its first requests.
    pub fn start(&mut self, now_ms: u64) -> Vec<CoordinatorRequest> {
        self.enter_phase(Phase::Reading, now_ms)
    }

    /// Returns whether no rank has been asked to hold a step or to decide a map.
    #[must_use]
    pub fn is_reading(&self) -> bool {
        let is_waiting = matches!(
            self.phase,
            Phase::Idle | Phase::Reading | Phase::Waiting { .. }
        );
        is_waiting && self.proposed_map.is_none()
    }

    /// Handles the reply of `rank` to the request with the id `call_id`; returns the requests to
    /// send next.
    pub fn on_reply(
        &mut self,
        call_id: u64,
        rank: usize,
        reply: &MapReply,
        now_ms: u64,
    ) -> Vec<CoordinatorRequest> {
        self.highest_ballot = self.highest_ballot.max(reply.highest_ballot());
        let is_current = call_id >= self.phase_first_call_id && self.is_awaiting_replies();
        if !is_current || self.replies[rank].is_some() {
            return Vec::new();
        }
        match reply.refusal() {
            MapRefusal::Unspecified => {}
            MapRefusal::Busy | MapRefusal::NotReady => return Vec::new(),
            _ => return self.on_refusal(now_ms),
        }
        if !self.is_from_group(reply) {
            return Vec::new();
        }
        self.replies[rank] = Some(reply.clone());
        if self.replies.iter().any(Option::is_none) {
            return Vec::new();
        }
        self.on_all_replies(now_ms)
    }

    /// Handles timeouts: resends unanswered requests, aborts a slow prepare and ends a backoff.
    pub fn tick(&mut self, now_ms: u64) -> Vec<CoordinatorRequest> {
        if let Phase::Waiting { until_ms } = self.phase {
            if now_ms < until_ms {
                return Vec::new();
            }
            return self.enter_phase(Phase::Reading, now_ms);
        }
        let phase_elapsed_ms = now_ms.saturating_sub(self.phase_started_ms);
        if self.phase == Phase::Preparing && phase_elapsed_ms >= PREPARE_TIMEOUT_MS {
            return self.abort_proposed(now_ms);
        }
        if !self.is_awaiting_replies() || now_ms < self.resend_at_ms {
            return Vec::new();
        }
        self.resend_at_ms = now_ms + RESEND_INTERVAL_MS;
        self.request_missing_replies()
    }

    /// Returns the outcome once the coordinator has finished.
    #[must_use]
    pub fn outcome(&self) -> Option<MapOutcome> {
        self.outcome
    }

    /// Returns the id of the proposed map once a prepare request for it exists.
    #[must_use]
    pub fn proposed_map_id(&self) -> Option<u64> {
        self.proposed_map
            .as_ref()
            .map(|proposed| proposed.map.map_id)
    }

    fn enter_phase(&mut self, phase: Phase, now_ms: u64) -> Vec<CoordinatorRequest> {
        self.phase = phase;
        self.phase_first_call_id = self.next_call_id;
        self.phase_started_ms = now_ms;
        self.resend_at_ms = now_ms + RESEND_INTERVAL_MS;
        self.replies = vec![None; self.rank_count];
        self.request_missing_replies()
    }

    fn is_awaiting_replies(&self) -> bool {
        !matches!(
            self.phase,
            Phase::Idle | Phase::Waiting { .. } | Phase::Done
        )
    }

    /// Returns whether the reply comes from the addressed incarnation of the group. Only state
    /// replies need the check: for other requests, the rank itself checks the incarnation.
    fn is_from_group(&self, reply: &MapReply) -> bool {
        match reply {
            MapReply::State(state) => state.group_incarnation == self.group_incarnation,
            MapReply::Prepare(_) | MapReply::Decide(_) => true,
        }
    }

    fn request_missing_replies(&mut self) -> Vec<CoordinatorRequest> {
        let ranks = 0..self.rank_count;
        let unanswered = ranks.filter(|rank| self.replies[*rank].is_none());
        let ranks: Vec<usize> = unanswered.collect();
        ranks
            .into_iter()
            .map(|rank| self.next_request(rank))
            .collect()
    }

    fn next_request(&mut self, rank: usize) -> CoordinatorRequest {
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        CoordinatorRequest {
            call_id,
            rank,
            request: self.request_for(rank),
        }
    }

    fn request_for(&self, rank: usize) -> MapRequest {
        let group_incarnation = self.group_incarnation;
        let ballot = self.ballot;
        let agent_incarnation = self.agent_incarnations.get(rank).copied().unwrap_or(0);
        match self.phase {
            Phase::Preparing => MapRequest::Prepare(PrepareMapRequest {
                group_incarnation,
                ballot,
                map: self
                    .proposed_map
                    .as_ref()
                    .map(|proposed| proposed.map.clone()),
                switch_step: self
                    .proposed_map
                    .as_ref()
                    .map_or(0, |proposed| proposed.switch_step),
                agent_incarnation,
            }),
            Phase::Deciding { map_id, commit } => MapRequest::Decide(DecideMapRequest {
                group_incarnation,
                ballot,
                map_id,
                commit,
                agent_incarnation,
            }),
            Phase::Recovering { map_id } => MapRequest::State(MapStateRequest {
                group_incarnation,
                ballot,
                map_id,
                agent_incarnation,
            }),
            Phase::Reading | Phase::Idle | Phase::Waiting { .. } | Phase::Done => {
                MapRequest::State(MapStateRequest {
                    group_incarnation,
                    ..MapStateRequest::default()
                })
            }
        }
    }

    /// Ends the current phase after a refusal. A refused prepare does not show whether the rank
    /// has staged the map, so recovery decides the proposed map.
    fn on_refusal(&mut self, now_ms: u64) -> Vec<CoordinatorRequest> {
        if self.phase == Phase::Preparing {
            return self.recover_proposed(now_ms);
        }
        self.back_off(now_ms);
        Vec::new()
    }

    /// Waits before the next attempt, for a time that grows with the number of retries.
    fn back_off(&mut self, now_ms: u64) {
        self.retries += 1;
        let backoff_ms = RETRY_BACKOFF_MS * self.retries.min(MAX_BACKOFF_FACTOR);
        let jitter_ms = u64::from(self.nonce).wrapping_mul(self.retries) % RETRY_JITTER_MS;
        self.phase = Phase::Waiting {
            until_ms: now_ms + backoff_ms + jitter_ms,
        };
    }

    /// Aborts the proposed map. This is safe because this coordinator has not committed it, and
    /// another one can commit it only under a higher ballot, after which ranks refuse this abort.
    fn abort_proposed(&mut self, now_ms: u64) -> Vec<CoordinatorRequest> {
        let map_id = self.ballot;
        let commit = false;
        self.enter_phase(Phase::Deciding { map_id, commit }, now_ms)
    }

    fn recover_proposed(&mut self, now_ms: u64) -> Vec<CoordinatorRequest> {
        let Some(map_id) = self.proposed_map_id() else {
            return Vec::new();
        };
        self.recover(map_id, now_ms)
    }

    fn recover(&mut self, map_id: u64, now_ms: u64) -> Vec<CoordinatorRequest> {
        self.ballot = next_ballot(self.highest_ballot, self.nonce);
        self.highest_ballot = self.ballot;
        self.enter_phase(Phase::Recovering { map_id }, now_ms)
    }

    fn on_all_replies(&mut self, now_ms: u64) -> Vec<CoordinatorRequest> {
        match self.phase {
            Phase::Reading => self.on_states_read(now_ms),
            Phase::Preparing => {
                let map_id = self.ballot;
                let commit = true;
                self.enter_phase(Phase::Deciding { map_id, commit }, now_ms)
            }
            Phase::Recovering { map_id } => self.on_recovery_states(map_id, now_ms),
            Phase::Deciding { map_id, commit } => self.on_decided(map_id, commit, now_ms),
            Phase::Idle | Phase::Waiting { .. } | Phase::Done => Vec::new(),
        }
    }

    fn states(&self) -> Vec<&MapStateReply> {
        let replies = self.replies.iter().flatten();
        let states = replies.filter_map(|reply| match reply {
            MapReply::State(state) => Some(state),
            MapReply::Prepare(_) | MapReply::Decide(_) => None,
        });
        states.collect()
    }

    fn on_states_read(&mut self, now_ms: u64) -> Vec<CoordinatorRequest> {
        let states = self.states();
        let agent_incarnations = states.iter().map(|state| state.agent_incarnation);
        let agent_incarnations = agent_incarnations.collect();
        let undecided_map_id = states.iter().map(|state| state.prepared_map_id);
        let undecided_map_id = undecided_map_id.filter(|map_id| *map_id != 0).min();
        let any_staged = states.iter().any(|state| state.switch_step != 0);
        let steps = states
            .iter()
            .map(|state| state.current_step.max(state.highest_switch_step));
        let furthest_step = steps.max().unwrap_or(0).max(self.min_step);
        self.agent_incarnations = agent_incarnations;
        if let Some(map_id) = self.proposed_map_id().or(undecided_map_id) {
            return self.recover(map_id, now_ms);
        }
        let Some(replicas) = self.proposal.clone() else {
            return self.finish(MapOutcome::Settled);
        };
        if any_staged {
            self.back_off(now_ms);
            return Vec::new();
        }
        self.ballot = match self.map_id {
            None => next_ballot(self.highest_ballot, self.nonce),
            Some(map_id) if map_id > self.highest_ballot => map_id,
            Some(map_id) => return self.finish(MapOutcome::Aborted { map_id }),
        };
        self.highest_ballot = self.ballot;
        self.proposed_map = Some(ProposedMap {
            map: ExpertMap {
                map_id: self.ballot,
                replicas,
            },
            switch_step: furthest_step + self.lead_steps,
        });
        self.enter_phase(Phase::Preparing, now_ms)
    }

    fn on_recovery_states(&mut self, map_id: u64, now_ms: u64) -> Vec<CoordinatorRequest> {
        let states = self.states();
        let has_committed = |state: &&MapStateReply| {
            [state.committed_map_id, state.active_map_id].contains(&map_id)
        };
        let any_committed = states.iter().any(has_committed);
        let all_prepared = states.iter().all(|state| state.prepared_map_id == map_id);
        let any_later_active = states.iter().any(|state| state.active_map_id > map_id);
        if any_later_active && !any_committed {
            return self.finish(MapOutcome::Superseded { map_id });
        }
        // If all ranks are prepared, an earlier coordinator may already have sent commits.
        let commit = any_committed || all_prepared;
        self.enter_phase(Phase::Deciding { map_id, commit }, now_ms)
    }

    fn on_decided(&mut self, map_id: u64, commit: bool, now_ms: u64) -> Vec<CoordinatorRequest> {
        if self.proposed_map_id() != Some(map_id) {
            return self.enter_phase(Phase::Reading, now_ms);
        }
        self.finish(if commit {
            MapOutcome::Committed { map_id }
        } else {
            MapOutcome::Aborted { map_id }
        })
    }

    fn finish(&mut self, outcome: MapOutcome) -> Vec<CoordinatorRequest> {
        self.phase = Phase::Done;
        self.outcome = Some(outcome);
        Vec::new()
    }
}
