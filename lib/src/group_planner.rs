//! Decides when a rank group of the direct path changes its expert map, and to which.
//!
//! Answers demand that shifts every few seconds. It plans on what the ranks chose of late and
//! makes small plans one after another.

use std::collections::BTreeMap;

use crate::ExpertLayout;
use crate::ExpertLoad;
use crate::ExpertModel;
use crate::ExpertSlots;
use crate::GroupModel;
use crate::MapOutcome;
use crate::SearchBounds;
use crate::map_ballot::next_ballot;
use crate::map_search::search_map;
use crate::map_search::skew_with_slowdowns;
use crate::protos::control::RankCounts;

/// Time in which half of what the ranks chose is forgotten.
const HALF_LIFE_MS: f64 = 350.0;
/// Age of a rank's counts up to which the group is planned for.
const MAX_COUNTS_AGE_MS: u64 = 600;
/// Share of the choices that lies on other experts when demand has jumped, not drifted.
const JUMP_SHARE: f64 = 0.25;
/// Part of the choices reckoned with that a look for a jump needs.
const JUMP_SAMPLE: f64 = 0.06;
/// Time between two looks for a jump of the demand.
const JUMP_INTERVAL_MS: u64 = 60;
/// Choices that a plan needs as its ground, for each expert of a set.
const MIN_CHOICES_PER_EXPERT: f64 = 8.0;
/// Time between two times that ranks are told of a plan that have not heard of it.
const TELL_AGAIN_MS: u64 = 150;
/// Time after which a rank that has heard of a plan and has not copied it is told again.
const SLOW_COPY_MS: u64 = 600;
/// Time after which the copying for a plan is given up.
const COPY_TIMEOUT_MS: u64 = 3_000;
const PROPOSAL_TIMEOUT_MS: u64 = 4_000;
/// Time in which all ranks switch to a committed map, if the group runs passes.
const SWITCH_TIMEOUT_MS: u64 = 2_000;
/// Time without a plan after one that came to nothing.
const FAILURE_PAUSE_MS: u64 = 250;
/// Experts of all sets that one plan may add to a rank.
const MAX_NEW_PER_RANK: usize = 2;
/// Skew of a set that one copied expert has to win, where passes take the usual time.
const LEAST_GAIN_PER_COPY: f64 = 0.015;
/// Skew, as the mean over the sets, that a plan has to win, where passes take the usual time.
const LEAST_GAIN_PER_PLAN: f64 = 0.15;
/// Skew below which few copies hardly ever bring a set.
const REACHABLE_SKEW: f64 = 1.08;
/// Time between two searches that come to nothing.
const SEARCH_INTERVAL_MS: u64 = 50;
/// Part of the longest pause that passes usually take. Where they take less, streams are on time
/// with more skew, and a plan has to win more.
const USUAL_PASS_SHARE: f64 = 0.5;
const MIN_NEED: f64 = 0.15;
const MAX_NEED: f64 = 1.5;
/// Pace of an engine that takes the usual time.
const USUAL_PACE_PERCENT: u32 = 100;
/// Part of the time and passes so far that is kept with the next counts of a rank.
const PASS_KEPT: f64 = 0.98;
/// Passes that the mean time of a pass needs as its ground.
const MIN_RECENT_STEPS: f64 = 4.0;

/// What the driver of a [`GroupPlanner`] has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Tell some ranks to copy the experts of a map that they lack.
    Copy {
        /// The ranks.
        ranks: Vec<u32>,
        /// Id of the map.
        map_id: u64,
        /// The experts of every rank.
        slots: ExpertSlots,
        /// The estimate behind a new plan; absent when the ranks are told again.
        estimate: Option<PlanEstimate>,
    },
    /// Propose the map that every rank has copied.
    Propose {
        /// Id of the map.
        map_id: u64,
        /// The last pass that some rank has begun.
        min_step: u64,
    },
}

/// The estimate behind a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanEstimate {
    /// Mean skew over the sets of the map in use, under the recent demand.
    pub skew_before: f64,
    /// Mean skew over the sets of the planned map, under the same demand.
    pub skew_after: f64,
    /// Experts that have to be copied.
    pub copies: usize,
    /// Mean time of a pass of late, in milliseconds; zero when not known.
    pub pass_ms: f64,
}

/// Decides when a rank group changes its expert map, and to which.
#[derive(Debug)]
pub struct GroupPlanner {
    model: ExpertModel,
    rank_count: usize,
    nonce: u32,
    ranks: BTreeMap<u32, RankView>,
    /// Longest pause between events of a stream that is on time; zero when none is set.
    target_pause_ms: f64,
    /// Time and passes of late, summed over the ranks.
    recent_ms: f64,
    recent_steps: f64,
    demand: Vec<f64>,
    demand_at_ms: u64,
    /// Choices since the last look for a jump, and when that was.
    fresh: Vec<f64>,
    fresh_since_ms: u64,
    /// The layout of the map in use, with its id.
    known: Option<(u64, ExpertLayout)>,
    plan: Option<Plan>,
    /// A committed map that not all ranks use yet, and until when they are waited for.
    switching: Option<(u64, u64)>,
    not_before_ms: u64,
    /// The last id that was given to a plan; each plan has another, also one that was dropped.
    last_map_id: u64,
}

#[derive(Debug)]
struct RankView {
    counts: RankCounts,
    heard_ms: u64,
}

#[derive(Debug)]
struct Plan {
    map_id: u64,
    layout: ExpertLayout,
    slots: ExpertSlots,
    made_at_ms: u64,
    told_at_ms: u64,
    proposed_at_ms: Option<u64>,
}

impl GroupPlanner {
    /// Makes the planner of a group; `nonce` is a random number that makes its maps' ids unique.
    #[must_use]
    pub fn new(model: GroupModel, rank_count: usize, nonce: u32) -> Self {
        let target_pause_ms = u32::try_from(model.target_pause_ms).unwrap_or(u32::MAX);
        let model = model.experts;
        let sets = model.set_count as usize;
        let experts = model.expert_count as usize;
        Self {
            target_pause_ms: f64::from(target_pause_ms),
            recent_ms: 0.0,
            recent_steps: 0.0,
            demand: vec![0.0; sets * experts],
            fresh: vec![0.0; sets * experts],
            fresh_since_ms: 0,
            model,
            rank_count,
            nonce,
            ranks: BTreeMap::new(),
            demand_at_ms: 0,
            known: None,
            plan: None,
            switching: None,
            not_before_ms: 0,
            last_map_id: 0,
        }
    }

    /// Returns the map whose layout is known; ranks need not tell it.
    #[must_use]
    pub fn known_map_id(&self) -> Option<u64> {
        self.known.as_ref().map(|(map_id, _)| *map_id)
    }

    /// Takes in what a rank chose since its counts before.
    pub fn on_counts(&mut self, rank: u32, counts: RankCounts, now_ms: u64) {
        self.forget(now_ms);
        if counts.choices.len() == self.demand.len() {
            let values = self.demand.iter_mut().zip(&mut self.fresh);
            for ((demand, fresh), chosen) in values.zip(&counts.choices) {
                *demand += f64::from(*chosen);
                *fresh += f64::from(*chosen);
            }
        }
        self.look_for_jump(now_ms);
        let heard_ms = now_ms;
        self.note_steps(rank, counts.step, now_ms);
        let mut counts = counts;
        if counts.slots.is_empty()
            && let Some(before) = self.ranks.get_mut(&rank)
            && before.counts.active_map_id == counts.active_map_id
        {
            counts.slots = std::mem::take(&mut before.counts.slots);
        }
        counts.choices.clear();
        self.ranks.insert(rank, RankView { counts, heard_ms });
    }

    /// Takes in how the proposal of a map ended; `None` when it was given up.
    pub fn on_outcome(&mut self, outcome: Option<MapOutcome>, now_ms: u64) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        match outcome {
            Some(MapOutcome::Committed { map_id }) if map_id == plan.map_id => {
                self.known = Some((map_id, plan.layout));
                self.switching = Some((map_id, now_ms + SWITCH_TIMEOUT_MS));
            }
            _ => self.not_before_ms = now_ms + FAILURE_PAUSE_MS,
        }
    }

    /// Lets time pass and returns what to do.
    pub fn advance(&mut self, now_ms: u64) -> Option<PlannerAction> {
        self.forget(now_ms);
        if self.plan.is_some() {
            return self.advance_plan(now_ms);
        }
        if now_ms < self.not_before_ms {
            return None;
        }
        let active_map_id = self.common_map(now_ms)?;
        if let Some((map_id, until_ms)) = self.switching
            && map_id != active_map_id
            && now_ms < until_ms
        {
            return None;
        }
        self.switching = None;
        self.learn_layout(active_map_id)?;
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
        if now_ms.saturating_sub(plan.made_at_ms) > COPY_TIMEOUT_MS {
            self.plan = None;
            self.not_before_ms = now_ms + FAILURE_PAUSE_MS;
            return None;
        }
        if now_ms.saturating_sub(plan.told_at_ms) < TELL_AGAIN_MS {
            return None;
        }
        let is_slow = now_ms.saturating_sub(plan.made_at_ms) >= SLOW_COPY_MS;
        let lacking = ranks.iter().filter(|(_, view)| {
            let has_heard = view.counts.highest_map_id >= plan.map_id;
            !has_copied(view) && (is_slow || !has_heard)
        });
        let lacking: Vec<u32> = lacking.map(|(rank, _)| *rank).collect();
        plan.told_at_ms = now_ms;
        if lacking.is_empty() {
            return None;
        }
        Some(PlannerAction::Copy {
            ranks: lacking,
            map_id: plan.map_id,
            slots: plan.slots.clone(),
            estimate: None,
        })
    }

    /// Returns the map that all ranks use, if all were heard of late.
    fn common_map(&self, now_ms: u64) -> Option<u64> {
        if self.ranks.len() != self.rank_count {
            return None;
        }
        let is_fresh = |view: &RankView| now_ms.saturating_sub(view.heard_ms) <= MAX_COUNTS_AGE_MS;
        let mut views = self.ranks.values();
        if !self.ranks.values().all(is_fresh) {
            return None;
        }
        let map_id = views.next()?.counts.active_map_id;
        views
            .all(|view| view.counts.active_map_id == map_id)
            .then_some(map_id)
    }

    /// Puts the layout of the map in use together from what the ranks tell, unless it is known.
    fn learn_layout(&mut self, map_id: u64) -> Option<()> {
        if self.known_map_id() == Some(map_id) {
            return Some(());
        }
        let sets = self.model.set_count as usize;
        let slots_per_rank = self.model.slots_per_rank as usize;
        let mut slots = vec![0; sets * self.rank_count * slots_per_rank];
        for (rank, view) in &self.ranks {
            let told = &view.counts.slots;
            if told.len() != sets * slots_per_rank {
                return None;
            }
            for (set, experts) in told.chunks(slots_per_rank).enumerate() {
                let first = (set * self.rank_count + *rank as usize) * slots_per_rank;
                slots
                    .get_mut(first..first + slots_per_rank)?
                    .copy_from_slice(experts);
            }
        }
        let slots = ExpertSlots::new(self.rank_count, slots_per_rank, slots)?;
        self.known = Some((map_id, slots.layout()?));
        Some(())
    }

    fn make_plan(&mut self, now_ms: u64) -> Option<PlannerAction> {
        if self.demand.iter().sum::<f64>() < self.min_choices() {
            return None;
        }
        let (_, current) = self.known.as_ref()?;
        let load = self.load();
        let least_gain = LEAST_GAIN_PER_PLAN / self.need();
        let paces = self.paces();
        let skew_before = skew_with_slowdowns(current, &load, &paces);
        if skew_before - REACHABLE_SKEW < least_gain {
            return None;
        }
        self.not_before_ms = now_ms + SEARCH_INTERVAL_MS;
        let bounds = SearchBounds::builder()
            .max_new_per_rank_and_set(self.model.max_new_per_rank as usize)
            .max_new_per_rank(MAX_NEW_PER_RANK)
            .least_gain(LEAST_GAIN_PER_COPY / self.need())
            .build();
        let layout = search_map(current, &load, &paces, bounds)?;
        let estimate = PlanEstimate {
            skew_before,
            skew_after: skew_with_slowdowns(&layout, &load, &paces),
            copies: layout.moves_from(current),
            pass_ms: self.pass_ms().unwrap_or(0.0),
        };
        if estimate.skew_before - estimate.skew_after < least_gain {
            return None;
        }
        let highest = self.ranks.values().map(|view| {
            let counts = &view.counts;
            counts.highest_map_id.max(counts.active_map_id)
        });
        let highest = highest.max().unwrap_or(0).max(self.last_map_id);
        let map_id = next_ballot(highest, self.nonce);
        self.last_map_id = map_id;
        let slots = ExpertSlots::from_layout(&layout)?;
        self.plan = Some(Plan {
            map_id,
            layout,
            slots: slots.clone(),
            made_at_ms: now_ms,
            told_at_ms: now_ms,
            proposed_at_ms: None,
        });
        Some(PlannerAction::Copy {
            ranks: self.ranks.keys().copied().collect(),
            map_id,
            slots,
            estimate: Some(estimate),
        })
    }

    /// Forgets what was chosen before the demand jumped, and a plan that was made for it.
    fn look_for_jump(&mut self, now_ms: u64) {
        let is_due = now_ms.saturating_sub(self.fresh_since_ms) >= JUMP_INTERVAL_MS;
        let fresh_total: f64 = self.fresh.iter().sum();
        let total: f64 = self.demand.iter().sum();
        if !is_due || fresh_total < total * JUMP_SAMPLE || fresh_total < self.min_choices() {
            return;
        }
        let fresh = self.as_load(&self.fresh);
        if fresh.moved_share(&self.load()) > JUMP_SHARE {
            self.demand.copy_from_slice(&self.fresh);
            self.plan.take_if(|plan| plan.proposed_at_ms.is_none());
            self.not_before_ms = now_ms;
        }
        self.fresh.fill(0.0);
        self.fresh_since_ms = now_ms;
    }

    /// Returns the choices that a plan needs as its ground.
    fn min_choices(&self) -> f64 {
        let experts = u32::try_from(self.demand.len()).unwrap_or(u32::MAX);
        f64::from(experts) * MIN_CHOICES_PER_EXPERT
    }

    /// Takes note of how many passes a rank has begun since its counts before.
    fn note_steps(&mut self, rank: u32, step: u64, now_ms: u64) {
        let Some(before) = self.ranks.get(&rank) else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(before.heard_ms);
        let steps = step.saturating_sub(before.counts.step);
        let as_f64 = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        self.recent_ms = self.recent_ms * PASS_KEPT + as_f64(elapsed_ms);
        self.recent_steps = self.recent_steps * PASS_KEPT + as_f64(steps);
    }

    /// Returns the mean time of a pass of late.
    fn pass_ms(&self) -> Option<f64> {
        (self.recent_steps >= MIN_RECENT_STEPS).then_some(self.recent_ms / self.recent_steps)
    }

    /// Returns how much a lower skew is needed, 1 where passes take the usual time.
    fn need(&self) -> f64 {
        let Some(pass_ms) = self.pass_ms().filter(|_| self.target_pause_ms > 0.0) else {
            return 1.0;
        };
        let share = pass_ms / (self.target_pause_ms * USUAL_PASS_SHARE);
        (share * share).clamp(MIN_NEED, MAX_NEED)
    }

    /// Returns how many times as long as usual each rank takes.
    fn paces(&self) -> Vec<f64> {
        let pace = |rank: u32| {
            let view = self.ranks.get(&rank);
            let percent = view.map_or(0, |view| view.counts.pace_percent);
            f64::from(percent.max(USUAL_PACE_PERCENT)) / f64::from(USUAL_PACE_PERCENT)
        };
        let rank_count = u32::try_from(self.rank_count).unwrap_or(u32::MAX);
        (0..rank_count).map(pace).collect()
    }

    fn load(&self) -> ExpertLoad {
        self.as_load(&self.demand)
    }

    fn as_load(&self, choices: &[f64]) -> ExpertLoad {
        let experts = (self.model.expert_count as usize).max(1);
        ExpertLoad::new(choices.chunks(experts).map(<[f64]>::to_vec).collect())
    }

    /// Lets older choices count less.
    fn forget(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.demand_at_ms);
        if elapsed_ms == 0 {
            return;
        }
        self.demand_at_ms = now_ms;
        let elapsed_ms = f64::from(u32::try_from(elapsed_ms).unwrap_or(u32::MAX));
        let kept = 0.5_f64.powf(elapsed_ms / HALF_LIFE_MS);
        for demand in &mut self.demand {
            *demand *= kept;
        }
    }
}
