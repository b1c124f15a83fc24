//! One coordinator's run in the agreement on expert maps.
//!
//! The argument for the rules is in `docs/design/expert_maps.md`.

use crate::MapOutcome;
use crate::MapReply;
use crate::MapRequest;
use crate::MapSend;
use crate::map_ballot::next_ballot;
use crate::protos::control::DecideMapRequest;
use crate::protos::control::ExpertMap;
use crate::protos::control::ExpertReplica;
use crate::protos::control::MapRefusal;
use crate::protos::control::MapStateReply;
use crate::protos::control::MapStateRequest;
use crate::protos::control::PrepareMapRequest;

const RESEND_AFTER_MS: u64 = 100;
const PREPARE_TIMEOUT_MS: u64 = 600;
const RETRY_AFTER_MS: u64 = 50;
const MAX_RETRY_STEPS: u64 = 6;
const RETRY_JITTER_MS: u64 = 97;

/// Proposes one expert map to all ranks of a group, or settles the maps left undecided.
///
/// Several coordinators may run at once and any may stop at any point; at worst the group waits
/// until one of them has heard every rank.
#[derive(Debug, bon::Builder)]
pub struct MapCoordinator {
    /// The formation of the rank group that is addressed.
    group_incarnation: u64,
    /// Number of ranks in the group.
    rank_count: usize,
    /// Random number of this run, which makes its ballots unique.
    nonce: u32,
    /// Steps between the furthest rank and the switch step of a proposal.
    lead_steps: u64,
    /// The replicas of the map to propose; without them the run only settles.
    proposal: Option<Vec<ExpertReplica>>,
    /// Id of the proposed map where the ranks have copied it before; else the run picks one.
    map_id: Option<u64>,
    /// Step that some rank has begun, by the proposer's own knowledge.
    #[builder(default)]
    min_step: u64,
    #[builder(skip)]
    own_map: Option<OwnMap>,
    #[builder(skip)]
    phase: Phase,
    #[builder(skip)]
    phase_first_call: u64,
    #[builder(skip)]
    next_call: u64,
    #[builder(skip)]
    phase_began_ms: u64,
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
    answers: Vec<Option<MapReply>>,
    #[builder(skip)]
    outcome: Option<MapOutcome>,
}

#[derive(Debug)]
struct OwnMap {
    map: ExpertMap,
    switch_step: u64,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Phase {
    #[default]
    Idle,
    /// Learns the runs of all agents and what is undecided, without a ballot.
    Reading,
    /// Collects promises for the proposed map.
    Preparing,
    /// Asks every rank about one map, under a ballot.
    Recovering {
        map_id: u64,
    },
    /// Tells every rank the decision.
    Deciding {
        map_id: u64,
        commit: bool,
    },
    /// Waits until the next reading.
    Waiting {
        until_ms: u64,
    },
    Done,
}

impl MapCoordinator {
    /// Begins the run.
    pub fn start(&mut self, now_ms: u64) -> Vec<MapSend> {
        self.begin(Phase::Reading, now_ms)
    }

    /// Handles the reply of `rank` to the request that was sent as `call`.
    pub fn on_reply(
        &mut self,
        call: u64,
        rank: usize,
        reply: &MapReply,
        now_ms: u64,
    ) -> Vec<MapSend> {
        self.highest_ballot = self.highest_ballot.max(reply.highest_ballot());
        let is_current = call >= self.phase_first_call && self.is_collecting();
        if !is_current || self.answers[rank].is_some() {
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
        self.answers[rank] = Some(reply.clone());
        if self.answers.iter().any(Option::is_none) {
            return Vec::new();
        }
        self.on_all_answers(now_ms)
    }

    /// Sends again what was not answered, and moves on when a time has passed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<MapSend> {
        if let Phase::Waiting { until_ms } = self.phase {
            if now_ms < until_ms {
                return Vec::new();
            }
            return self.begin(Phase::Reading, now_ms);
        }
        let phase_ms = now_ms.saturating_sub(self.phase_began_ms);
        if self.phase == Phase::Preparing && phase_ms >= PREPARE_TIMEOUT_MS {
            return self.abort_own(now_ms);
        }
        if !self.is_collecting() || now_ms < self.resend_at_ms {
            return Vec::new();
        }
        self.resend_at_ms = now_ms + RESEND_AFTER_MS;
        self.send_unanswered()
    }

    /// Returns how the run ended, once it has.
    #[must_use]
    pub fn outcome(&self) -> Option<MapOutcome> {
        self.outcome
    }

    /// Returns the id of the proposed map, once it was sent to any rank.
    #[must_use]
    pub fn proposed_map_id(&self) -> Option<u64> {
        self.own_map.as_ref().map(|own| own.map.map_id)
    }

    fn begin(&mut self, phase: Phase, now_ms: u64) -> Vec<MapSend> {
        self.phase = phase;
        self.phase_first_call = self.next_call;
        self.phase_began_ms = now_ms;
        self.resend_at_ms = now_ms + RESEND_AFTER_MS;
        self.answers = vec![None; self.rank_count];
        self.send_unanswered()
    }

    fn is_collecting(&self) -> bool {
        !matches!(
            self.phase,
            Phase::Idle | Phase::Waiting { .. } | Phase::Done
        )
    }

    /// Returns whether a reply without a ballot comes from the addressed formation of the group.
    fn is_from_group(&self, reply: &MapReply) -> bool {
        match reply {
            MapReply::State(state) => state.group_incarnation == self.group_incarnation,
            MapReply::Prepare(_) | MapReply::Decide(_) => true,
        }
    }

    fn send_unanswered(&mut self) -> Vec<MapSend> {
        let ranks = 0..self.rank_count;
        let unanswered = ranks.filter(|rank| self.answers[*rank].is_none());
        let ranks: Vec<usize> = unanswered.collect();
        ranks.into_iter().map(|rank| self.send(rank)).collect()
    }

    fn send(&mut self, rank: usize) -> MapSend {
        let call = self.next_call;
        self.next_call += 1;
        MapSend {
            call,
            rank,
            request: self.request(rank),
        }
    }

    fn request(&self, rank: usize) -> MapRequest {
        let group_incarnation = self.group_incarnation;
        let ballot = self.ballot;
        let agent_incarnation = self.agent_incarnations.get(rank).copied().unwrap_or(0);
        match self.phase {
            Phase::Preparing => MapRequest::Prepare(PrepareMapRequest {
                group_incarnation,
                ballot,
                map: self.own_map.as_ref().map(|own| own.map.clone()),
                switch_step: self.own_map.as_ref().map_or(0, |own| own.switch_step),
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

    /// Gives up the round; a refused prepare says nothing certain about the rank, so that the
    /// fate of the own map is settled by recovery.
    fn on_refusal(&mut self, now_ms: u64) -> Vec<MapSend> {
        if self.phase == Phase::Preparing {
            return self.recover_own(now_ms);
        }
        self.wait(now_ms);
        Vec::new()
    }

    fn wait(&mut self, now_ms: u64) {
        self.retries += 1;
        let backoff_ms = RETRY_AFTER_MS * self.retries.min(MAX_RETRY_STEPS);
        let jitter_ms = u64::from(self.nonce).wrapping_mul(self.retries) % RETRY_JITTER_MS;
        self.phase = Phase::Waiting {
            until_ms: now_ms + backoff_ms + jitter_ms,
        };
    }

    /// Aborts the own map, which no run has committed: this one has not, and another one commits
    /// only under a higher ballot, whose ranks refuse this abort.
    fn abort_own(&mut self, now_ms: u64) -> Vec<MapSend> {
        let map_id = self.ballot;
        let commit = false;
        self.begin(Phase::Deciding { map_id, commit }, now_ms)
    }

    fn recover_own(&mut self, now_ms: u64) -> Vec<MapSend> {
        let Some(map_id) = self.proposed_map_id() else {
            return Vec::new();
        };
        self.recover(map_id, now_ms)
    }

    fn recover(&mut self, map_id: u64, now_ms: u64) -> Vec<MapSend> {
        self.ballot = next_ballot(self.highest_ballot, self.nonce);
        self.highest_ballot = self.ballot;
        self.begin(Phase::Recovering { map_id }, now_ms)
    }

    fn on_all_answers(&mut self, now_ms: u64) -> Vec<MapSend> {
        match self.phase {
            Phase::Reading => self.on_read(now_ms),
            Phase::Preparing => {
                let map_id = self.ballot;
                let commit = true;
                self.begin(Phase::Deciding { map_id, commit }, now_ms)
            }
            Phase::Recovering { map_id } => self.on_recovered(map_id, now_ms),
            Phase::Deciding { map_id, commit } => self.on_decided(map_id, commit, now_ms),
            Phase::Idle | Phase::Waiting { .. } | Phase::Done => Vec::new(),
        }
    }

    fn states(&self) -> Vec<&MapStateReply> {
        let answers = self.answers.iter().flatten();
        let states = answers.filter_map(|reply| match reply {
            MapReply::State(state) => Some(state),
            MapReply::Prepare(_) | MapReply::Decide(_) => None,
        });
        states.collect()
    }

    fn on_read(&mut self, now_ms: u64) -> Vec<MapSend> {
        let states = self.states();
        let agent_incarnations = states.iter().map(|state| state.agent_incarnation);
        let agent_incarnations = agent_incarnations.collect();
        let undecided = states.iter().map(|state| state.prepared_map_id);
        let undecided = undecided.filter(|map_id| *map_id != 0).min();
        let has_staged = states.iter().any(|state| state.switch_step != 0);
        let steps = states
            .iter()
            .map(|state| state.current_step.max(state.highest_switch_step));
        let furthest_step = steps.max().unwrap_or(0).max(self.min_step);
        self.agent_incarnations = agent_incarnations;
        if let Some(map_id) = self.proposed_map_id().or(undecided) {
            return self.recover(map_id, now_ms);
        }
        let Some(replicas) = self.proposal.clone() else {
            return self.finish(MapOutcome::Settled);
        };
        if has_staged {
            self.wait(now_ms);
            return Vec::new();
        }
        self.ballot = match self.map_id {
            None => next_ballot(self.highest_ballot, self.nonce),
            Some(map_id) if map_id > self.highest_ballot => map_id,
            Some(map_id) => return self.finish(MapOutcome::Aborted { map_id }),
        };
        self.highest_ballot = self.ballot;
        self.own_map = Some(OwnMap {
            map: ExpertMap {
                map_id: self.ballot,
                replicas,
            },
            switch_step: furthest_step + self.lead_steps,
        });
        self.begin(Phase::Preparing, now_ms)
    }

    fn on_recovered(&mut self, map_id: u64, now_ms: u64) -> Vec<MapSend> {
        let states = self.states();
        let has_committed = |state: &&MapStateReply| {
            [state.committed_map_id, state.active_map_id].contains(&map_id)
        };
        let any_committed = states.iter().any(has_committed);
        let all_prepared = states.iter().all(|state| state.prepared_map_id == map_id);
        let any_later = states.iter().any(|state| state.active_map_id > map_id);
        if any_later && !any_committed {
            return self.finish(MapOutcome::Superseded { map_id });
        }
        // With every rank prepared, an earlier coordinator may have committed already.
        let commit = any_committed || all_prepared;
        self.begin(Phase::Deciding { map_id, commit }, now_ms)
    }

    fn on_decided(&mut self, map_id: u64, commit: bool, now_ms: u64) -> Vec<MapSend> {
        if self.proposed_map_id() != Some(map_id) {
            return self.begin(Phase::Reading, now_ms);
        }
        self.finish(if commit {
            MapOutcome::Committed { map_id }
        } else {
            MapOutcome::Aborted { map_id }
        })
    }

    fn finish(&mut self, outcome: MapOutcome) -> Vec<MapSend> {
        self.phase = Phase::Done;
        self.outcome = Some(outcome);
        Vec::new()
    }
}
