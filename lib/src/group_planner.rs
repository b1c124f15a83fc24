//! Planner of a rank group on the direct path: decides when the group changes its expert map, and to
//! which map.
//!
//! It serves demand that shifts every few seconds: it plans for the recent choices of experts and
//! makes small plans in quick succession.

use std::collections::BTreeMap;

use crate::ExpertLayout;
use crate::ExpertLoad;
use crate::ExpertModel;
use crate::ExpertSlots;
use crate::GroupModel;
use crate::MapOutcome;
use crate::MapSearch;
use crate::SearchBounds;
use crate::expert_demand::ExpertDemand;
use crate::map_ballot::next_ballot;
use crate::map_search::skew_with_slowdowns;
use crate::pass_time::PassTime;
use crate::plan_timing::PlanTiming;
use crate::protos::control::RankCounts;

/// Age of any rank's last counts above which no plan is made.
const MAX_COUNTS_AGE_MS: u64 = 600;
/// Time between two sends of a plan to the ranks that lack it.
const RESEND_INTERVAL_MS: u64 = 150;
/// Time after which a plan is also resent to ranks that have received it but not copied it.
const SLOW_COPY_MS: u64 = 600;
/// Time after which a plan is abandoned if some rank has not copied it.
const COPY_TIMEOUT_MS: u64 = 3_000;
/// Time after which a plan is abandoned if its proposal has no outcome.
const PROPOSAL_TIMEOUT_MS: u64 = 4_000;
/// Time within which all ranks switch to a committed map, if the group runs forward passes.
const SWITCH_TIMEOUT_MS: u64 = 2_000;
/// Time without planning after a plan has failed.
const FAILURE_PAUSE_MS: u64 = 250;
/// Highest number of experts, over all sets, that one plan may add to a rank.
const MAX_NEW_PER_RANK: usize = 16;
/// Reduction of a set's skew that each copied expert has to bring, if forward passes take the usual
/// time.
const MIN_GAIN_PER_COPY: f64 = 0.015;
/// Reduction of the mean skew over the sets that a plan has to bring, if forward passes take the
/// usual time.
const MIN_GAIN_PER_PLAN: f64 = 0.15;
/// Skew below which a plan of few copies rarely brings a set.
const REACHABLE_SKEW: f64 = 1.08;
/// Time without a search after one that found no plan, unless demand jumps.
const SEARCH_INTERVAL_MS: u64 = 200;
/// Slowdown of an engine that takes the usual time, in percent of that time.
const USUAL_SLOWDOWN_PERCENT: u32 = 100;
/// An action that the caller of [`GroupPlanner`] has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Send a map to ranks, which copy the experts that they lack.
    Copy {
        /// The ranks to send the map to.
        ranks: Vec<u32>,
        /// Id of the map.
        map_id: u64,
        /// The experts of every rank in the map.
        slots: ExpertSlots,
        /// The estimate behind a new plan; `None` if the map is resent.
        estimate: Option<PlanEstimate>,
    },
    /// Propose the map that every rank has copied.
    Propose {
        /// Id of the map.
        map_id: u64,
        /// The highest step that any rank has begun.
        min_step: u64,
    },
}

/// The effect of a plan as estimated by the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanEstimate {
    /// Mean skew over the sets of layers in the map in use, under the recent demand.
    pub skew_before: f64,
    /// Mean skew over the sets of layers in the planned map, under the same demand.
    pub skew_after: f64,
    /// Number of experts that have to be copied.
    pub copies: usize,
    /// Mean time of recent forward passes, in milliseconds; zero if unknown.
    pub pass_ms: f64,
}

/// Decides when a rank group changes its expert map, and to which map.
///
/// A plan goes through three phases: every rank copies the experts that it lacks, the map is
/// proposed, and all ranks switch to it. The planner does no I/O and gets the time from its caller.
#[derive(Debug)]
pub struct GroupPlanner {
    model: ExpertModel,
    rank_count: usize,
    /// Makes the ids of this planner's maps unique.
    nonce: u32,
    /// The last report of each rank.
    ranks: BTreeMap<u32, RankView>,
    pass_time: PassTime,
    demand: ExpertDemand,
    /// Id and layout of the map in use.
    active: Option<(u64, ExpertLayout)>,
    plan: Option<Plan>,
    /// Id of a committed map that not all ranks use yet, and the end of the wait for them.
    switching: Option<(u64, u64)>,
    timing: PlanTiming,
    search_count: u64,
    /// Whether the plans of the last jump in demand still have an effect.
    is_settling: bool,
    /// Time since which the skew seems too high.
    skewed_since_ms: Option<u64>,
    /// The plan that is being carried out, to observe how long it takes.
    timed_plan: Option<TimedPlan>,
    /// Time before which no plan is made.
    next_plan_ms: u64,
    /// Id of the last plan. Ids are not reused, not even those of abandoned plans.
    last_map_id: u64,
}

/// The last counts of a rank, and when they were received.
#[derive(Debug)]
struct RankView {
    counts: RankCounts,
    received_ms: u64,
}

/// A plan that a search has found.
#[derive(Debug)]
struct PlanCandidate {
    layout: ExpertLayout,
    /// Highest number of experts that a rank has to copy.
    new_per_rank: usize,
    estimate: PlanEstimate,
}

/// A plan whose time until all ranks use it is measured.
#[derive(Debug)]
struct TimedPlan {
    map_id: u64,
    new_per_rank: usize,
    made_at_ms: u64,
}

/// A plan that ranks copy or that is proposed.
#[derive(Debug)]
struct Plan {
    map_id: u64,
    layout: ExpertLayout,
    slots: ExpertSlots,
    made_at_ms: u64,
    sent_at_ms: u64,
    proposed_at_ms: Option<u64>,
}

impl GroupPlanner {
    /// Creates the planner of a group; `nonce` is a random number that makes its maps' ids unique.
    #[must_use]
    pub fn new(model: GroupModel, rank_count: usize, nonce: u32) -> Self {
        let pass_time = PassTime::new(model.target_pause_ms);
        let model = model.experts;
        let sets = model.set_count as usize;
        let experts = model.expert_count as usize;
        Self {
            pass_time,
            demand: ExpertDemand::new(sets, experts),
            timing: PlanTiming::new(&model),
            timed_plan: None,
            search_count: 0,
            is_settling: true,
            skewed_since_ms: None,
            model,
            rank_count,
            nonce,
            ranks: BTreeMap::new(),
            active: None,
            plan: None,
            switching: None,
            next_plan_ms: 0,
            last_map_id: 0,
        }
    }

    /// Returns the number of searches for a plan so far.
    #[must_use]
    pub fn search_count(&self) -> u64 {
        self.search_count
    }

    /// Returns the id of the map whose layout is known, so that ranks need not send their slots of it.
    #[must_use]
    pub fn known_map_id(&self) -> Option<u64> {
        self.active.as_ref().map(|(map_id, _)| *map_id)
    }

    /// Records the choices of a rank since its previous counts, and its state.
    pub fn on_counts(&mut self, rank: u32, counts: RankCounts, now_ms: u64) {
        if self.demand.record(&counts.choices, now_ms) {
            self.handle_jump(now_ms);
        }
        let received_ms = now_ms;
        self.record_passes(rank, counts.step, now_ms);
        let mut counts = counts;
        if counts.slots.is_empty()
            && let Some(previous) = self.ranks.get_mut(&rank)
            && previous.counts.active_map_id == counts.active_map_id
        {
            counts.slots = std::mem::take(&mut previous.counts.slots);
        }
        counts.choices.clear();
        self.ranks.insert(
            rank,
            RankView {
                counts,
                received_ms,
            },
        );
    }

    /// Records the outcome of the proposal; `None` if it was abandoned.
    pub fn on_outcome(&mut self, outcome: Option<MapOutcome>, now_ms: u64) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        match outcome {
            Some(MapOutcome::Committed { map_id }) if map_id == plan.map_id => {
                self.active = Some((map_id, plan.layout));
                self.switching = Some((map_id, now_ms + SWITCH_TIMEOUT_MS));
            }
            _ => self.next_plan_ms = now_ms + FAILURE_PAUSE_MS,
        }
    }

    /// Advances the time to `now_ms` and returns the next action, if there is one.
    pub fn advance(&mut self, now_ms: u64) -> Option<PlannerAction> {
        self.demand.decay(now_ms);
        if self.plan.is_some() {
            return self.advance_plan(now_ms);
        }
        if now_ms < self.next_plan_ms {
            return None;
        }
        let active_map_id = self.common_active_map(now_ms)?;
        if let Some((map_id, until_ms)) = self.switching
            && map_id != active_map_id
            && now_ms < until_ms
        {
            return None;
        }
        self.switching = None;
        if let Some(timed) = self
            .timed_plan
            .take_if(|timed| timed.map_id == active_map_id)
        {
            let elapsed_ms = now_ms.saturating_sub(timed.made_at_ms);
            self.timing.observe_plan(timed.new_per_rank, elapsed_ms);
        }
        self.update_active_layout(active_map_id)?;
        self.make_plan(now_ms)
    }

    fn advance_plan(&mut self, now_ms: u64) -> Option<PlannerAction> {
        let ranks = &self.ranks;
        let plan = self.plan.as_mut()?;
        if let Some(proposed_at_ms) = plan.proposed_at_ms {
            if now_ms.saturating_sub(proposed_at_ms) > PROPOSAL_TIMEOUT_MS {
                self.plan = None;
            }
            return None;
        }
        let has_copied = |view: &RankView| view.counts.copied_map_id == plan.map_id;
        if ranks.len() == self.rank_count && ranks.values().all(has_copied) {
            plan.proposed_at_ms = Some(now_ms);
            let steps = ranks.values().map(|view| view.counts.step);
            return Some(PlannerAction::Propose {
                map_id: plan.map_id,
                min_step: steps.max().unwrap_or(0),
            });
        }
        // A rank that has copied a later map refuses this one.
        let is_superseded = ranks
            .values()
            .any(|view| view.counts.copied_map_id > plan.map_id);
        if is_superseded || now_ms.saturating_sub(plan.made_at_ms) > COPY_TIMEOUT_MS {
            self.plan = None;
            self.next_plan_ms = now_ms + FAILURE_PAUSE_MS;
            return None;
        }
        if now_ms.saturating_sub(plan.sent_at_ms) < RESEND_INTERVAL_MS {
            return None;
        }
        let is_copy_slow = now_ms.saturating_sub(plan.made_at_ms) >= SLOW_COPY_MS;
        let recipients = ranks.iter().filter(|(_, view)| {
            let has_received = view.counts.highest_map_id >= plan.map_id;
            !has_copied(view) && (is_copy_slow || !has_received)
        });
        let recipients: Vec<u32> = recipients.map(|(rank, _)| *rank).collect();
        plan.sent_at_ms = now_ms;
        if recipients.is_empty() {
            return None;
        }
        Some(PlannerAction::Copy {
            ranks: recipients,
            map_id: plan.map_id,
            slots: plan.slots.clone(),
            estimate: None,
        })
    }

    /// Returns the id of the map that all ranks use; `None` if they use different maps or if a rank
    /// has not reported recently.
    fn common_active_map(&self, now_ms: u64) -> Option<u64> {
        if self.ranks.len() != self.rank_count {
            return None;
        }
        let is_recent =
            |view: &RankView| now_ms.saturating_sub(view.received_ms) <= MAX_COUNTS_AGE_MS;
        let mut views = self.ranks.values();
        if !self.ranks.values().all(is_recent) {
            return None;
        }
        let map_id = views.next()?.counts.active_map_id;
        views
            .all(|view| view.counts.active_map_id == map_id)
            .then_some(map_id)
    }

    /// Assembles the layout of the map in use from the slots that the ranks reported, unless it is
    /// known already.
    fn update_active_layout(&mut self, map_id: u64) -> Option<()> {
        if self.known_map_id() == Some(map_id) {
            return Some(());
        }
        let sets = self.model.set_count as usize;
        let slots_per_rank = self.model.slots_per_rank as usize;
        let mut slots = vec![0; sets * self.rank_count * slots_per_rank];
        for (rank, view) in &self.ranks {
            let reported = &view.counts.slots;
            if reported.len() != sets * slots_per_rank {
                return None;
            }
            for (set, experts) in reported.chunks(slots_per_rank).enumerate() {
                let first = (set * self.rank_count + *rank as usize) * slots_per_rank;
                slots
                    .get_mut(first..first + slots_per_rank)?
                    .copy_from_slice(experts);
            }
        }
        let slots = ExpertSlots::new(self.rank_count, slots_per_rank, slots)?;
        self.active = Some((map_id, slots.layout()?));
        Some(())
    }

    /// Makes a plan if there is enough demand and a plan is worthwhile.
    fn make_plan(&mut self, now_ms: u64) -> Option<PlannerAction> {
        if !self.demand.is_known() {
            return None;
        }
        let (_, current) = self.active.as_ref()?;
        let load = self.demand.load();
        let slowdowns = self.slowdowns();
        let skew_before = skew_with_slowdowns(current, &load, &slowdowns);
        if skew_before - REACHABLE_SKEW < self.min_gain() {
            self.stop_settling();
            return None;
        }
        if !self.is_confirmed(now_ms) {
            return None;
        }
        self.search_count += 1;
        let candidate = self.search(&load, &slowdowns, skew_before);
        let candidate = candidate.filter(|candidate| self.is_worthwhile(candidate, now_ms));
        let Some(candidate) = candidate else {
            self.stop_settling();
            self.next_plan_ms = now_ms + SEARCH_INTERVAL_MS;
            return None;
        };
        self.start_plan(candidate, now_ms)
    }

    /// Returns whether a plan reduces the skew enough, and for long enough.
    fn is_worthwhile(&self, candidate: &PlanCandidate, now_ms: u64) -> bool {
        let PlanEstimate {
            skew_before,
            skew_after,
            ..
        } = candidate.estimate;
        let timing = &self.timing;
        skew_before - skew_after >= self.min_gain()
            && timing.is_worthwhile(skew_before, skew_after, candidate.new_per_rank, now_ms)
    }

    /// Returns by how much a plan has to reduce the mean skew.
    fn min_gain(&self) -> f64 {
        MIN_GAIN_PER_PLAN / self.pass_time.skew_urgency()
    }

    /// Returns whether a plan against the present skew should be made now.
    ///
    /// The first choices after a jump in demand raise the skew before the jump is found. A plan for
    /// them would delay the one for the jump. So without a jump, a plan waits for a check that finds
    /// none.
    fn is_confirmed(&mut self, now_ms: u64) -> bool {
        let since_ms = *self.skewed_since_ms.get_or_insert(now_ms);
        self.is_settling || self.demand.is_checked_since(since_ms)
    }

    /// Records that no plan is worthwhile now, so that the plans of the last jump have had their
    /// effect.
    fn stop_settling(&mut self) {
        self.is_settling = false;
        self.skewed_since_ms = None;
    }

    fn start_plan(&mut self, candidate: PlanCandidate, now_ms: u64) -> Option<PlannerAction> {
        self.skewed_since_ms = None;
        let highest = self.ranks.values().map(|view| {
            let counts = &view.counts;
            let copied_or_active = counts.copied_map_id.max(counts.active_map_id);
            counts.highest_map_id.max(copied_or_active)
        });
        let highest = highest.max().unwrap_or(0).max(self.last_map_id);
        let map_id = next_ballot(highest, self.nonce);
        self.last_map_id = map_id;
        let slots = ExpertSlots::from_layout(&candidate.layout)?;
        self.timed_plan = Some(TimedPlan {
            map_id,
            new_per_rank: candidate.new_per_rank,
            made_at_ms: now_ms,
        });
        self.plan = Some(Plan {
            map_id,
            layout: candidate.layout,
            slots: slots.clone(),
            made_at_ms: now_ms,
            sent_at_ms: now_ms,
            proposed_at_ms: None,
        });
        Some(PlannerAction::Copy {
            ranks: self.ranks.keys().copied().collect(),
            map_id,
            slots,
            estimate: Some(candidate.estimate),
        })
    }

    /// Searches for a layout with lower skew, with the number of copies that lowers it soonest.
    fn search(
        &self,
        load: &ExpertLoad,
        slowdowns: &[f64],
        skew_before: f64,
    ) -> Option<PlanCandidate> {
        let (_, current) = self.active.as_ref()?;
        let mut search = MapSearch::new(current, load, slowdowns);
        let mut best = None;
        let mut best_rate = 0.0;
        let mut max_new_per_rank = 1;
        while max_new_per_rank <= MAX_NEW_PER_RANK && search.extend(self.bounds(max_new_per_rank)) {
            let layout = search.layout();
            let new_per_rank = search.most_new_per_rank();
            let skew_after = skew_with_slowdowns(&layout, load, slowdowns);
            let rate = self
                .timing
                .gain_rate(skew_before - skew_after, new_per_rank);
            if rate <= best_rate {
                break;
            }
            best_rate = rate;
            best = Some((layout, new_per_rank, skew_after));
            max_new_per_rank *= 2;
        }
        let (layout, new_per_rank, skew_after) = best?;
        Some(PlanCandidate {
            estimate: PlanEstimate {
                skew_before,
                skew_after,
                copies: layout.moves_from(current),
                pass_ms: self.pass_time.mean_ms().unwrap_or(0.0),
            },
            layout,
            new_per_rank,
        })
    }

    /// Returns the bounds of a search for a plan that adds `max_new_per_rank` experts to a rank.
    fn bounds(&self, max_new_per_rank: usize) -> SearchBounds {
        SearchBounds::builder()
            .max_new_per_rank_and_set(self.model.max_new_per_rank as usize)
            .max_new_per_rank(max_new_per_rank)
            .min_gain(MIN_GAIN_PER_COPY / self.pass_time.skew_urgency())
            .build()
    }

    /// Abandons a plan that was made for the demand before a jump and is not yet proposed.
    fn handle_jump(&mut self, now_ms: u64) {
        self.timing.observe_jump(now_ms);
        self.is_settling = true;
        self.plan.take_if(|plan| plan.proposed_at_ms.is_none());
        self.next_plan_ms = now_ms;
    }

    /// Records the time and the number of passes of a rank since its previous counts.
    fn record_passes(&mut self, rank: u32, step: u64, now_ms: u64) {
        let Some(previous) = self.ranks.get(&rank) else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(previous.received_ms);
        let passes = step.saturating_sub(previous.counts.step);
        self.pass_time.record(elapsed_ms, passes);
    }

    /// Returns for each rank how many times as long as usual it takes.
    fn slowdowns(&self) -> Vec<f64> {
        let slowdown = |rank: u32| {
            let view = self.ranks.get(&rank);
            let percent = view.map_or(0, |view| view.counts.pace_percent);
            f64::from(percent.max(USUAL_SLOWDOWN_PERCENT)) / f64::from(USUAL_SLOWDOWN_PERCENT)
        };
        let rank_count = u32::try_from(self.rank_count).unwrap_or(u32::MAX);
        (0..rank_count).map(slowdown).collect()
    }
}
