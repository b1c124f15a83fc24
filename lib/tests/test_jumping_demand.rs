//! Replays demand for experts that jumps every few seconds against the planner of a rank group.

use googletest::prelude::*;
use pomeloramp_lib::ExpertLayout;
use pomeloramp_lib::ExpertLoad;
use pomeloramp_lib::ExpertModel;
use pomeloramp_lib::ExpertSlots;
use pomeloramp_lib::GroupModel;
use pomeloramp_lib::GroupPlanner;
use pomeloramp_lib::MapOutcome;
use pomeloramp_lib::PlannerAction;
use pomeloramp_lib::protos::control::RankCounts;
use pomeloramp_lib::skew_with_slowdowns;

const RANKS: usize = 12;
const EXPERTS: usize = 48;
const SLOTS_PER_RANK: usize = 6;
const EXPERT_MB: f64 = 1_000.0;
const TICK_MS: u64 = 10;
const ROUND_MS: u64 = 100;
/// Time from the proposal of a map until all ranks use it.
const SWITCH_MS: u64 = 120;
/// Choices that a rank counts in a round.
const CHOICES_PER_ROUND: f64 = 20_000.0;
/// Time between two jumps in demand; not a multiple of the rounds.
const JUMP_INTERVAL_MS: u64 = 3_070;
const DURATION_MS: u64 = 30_000;
/// Time in which a jump is found, planned for, and the map agreed on.
const REACTION_MS: u64 = 450;
/// Skew of a group whose map was planned for the present demand.
const BALANCED_SKEW: f64 = 1.35;

/// A rank group that copies experts and switches maps as its planner orders.
struct Group {
    sets: usize,
    planner: GroupPlanner,
    copy_ms: u64,
    active: (u64, ExpertLayout),
    /// The map that the ranks copy, and the time at which they have it.
    copying: Option<(u64, ExpertLayout, u64)>,
    copied_map_id: u64,
    /// The time at which the ranks use the proposed map.
    switch_ms: Option<u64>,
    plans: usize,
}

impl Group {
    fn new(sets: usize, copy_ms: u64) -> Self {
        let megabits = EXPERT_MB * 8.0;
        let model = GroupModel {
            experts: ExpertModel {
                set_count: u32::try_from(sets).unwrap(),
                expert_count: u32::try_from(EXPERTS).unwrap(),
                slots_per_rank: u32::try_from(SLOTS_PER_RANK).unwrap(),
                max_new_per_rank: 4,
                expert_mb: EXPERT_MB,
                link_mbit_per_s: megabits / (as_f64(copy_ms) / 1e3),
                work_share: 0.85,
            },
            target_pause_ms: 120,
        };
        Self {
            sets,
            planner: GroupPlanner::new(model, RANKS, 7),
            copy_ms,
            active: (0, initial_layout(sets)),
            copying: None,
            copied_map_id: 0,
            switch_ms: None,
            plans: 0,
        }
    }

    fn tick(&mut self, now_ms: u64) {
        if let Some((map_id, _, ready_ms)) = &self.copying
            && *ready_ms <= now_ms
            && self.copied_map_id != *map_id
        {
            self.copied_map_id = *map_id;
            self.report(now_ms, &no_choices(self.sets));
        }
        if self.switch_ms.is_some_and(|switch_ms| switch_ms <= now_ms) {
            let (map_id, layout, _) = self.copying.take().unwrap();
            self.switch_ms = None;
            self.active = (map_id, layout);
            let committed = MapOutcome::Committed { map_id };
            self.planner.on_outcome(Some(committed), now_ms);
        }
        if now_ms.is_multiple_of(ROUND_MS) {
            self.report(now_ms, &choices_of_round(self.sets, now_ms));
        }
        match self.planner.advance(now_ms) {
            Some(PlannerAction::Copy { map_id, slots, .. }) => self.copy(map_id, &slots, now_ms),
            Some(PlannerAction::Propose { .. }) => self.switch_ms = Some(now_ms + SWITCH_MS),
            None => {}
        }
    }

    /// Begins to copy a map; the copies of an abandoned one are completed first.
    fn copy(&mut self, map_id: u64, slots: &ExpertSlots, now_ms: u64) {
        if self
            .copying
            .as_ref()
            .is_some_and(|(id, _, _)| *id == map_id)
        {
            return;
        }
        let layout = slots.layout().unwrap();
        let new_of = |rank: usize| {
            let sets = layout.layers().iter().zip(self.active.1.layers());
            let new = sets.map(|(after, before)| {
                let is_new = |e: &usize| after.holds(rank, *e) && !before.holds(rank, *e);
                (0..EXPERTS).filter(is_new).count()
            });
            new.sum::<usize>()
        };
        let most_new = (0..RANKS).map(new_of).max().unwrap();
        let free_ms = self
            .copying
            .as_ref()
            .map_or(now_ms, |copying| copying.2.max(now_ms));
        let ready_ms = free_ms + self.copy_ms * u64::try_from(most_new).unwrap();
        self.copying = Some((map_id, layout, ready_ms));
        self.plans += 1;
    }

    fn report(&mut self, now_ms: u64, choices: &[u32]) {
        let slots = ExpertSlots::from_layout(&self.active.1).unwrap();
        for rank in 0..RANKS {
            let sets = slots.as_slice().chunks(RANKS * SLOTS_PER_RANK);
            let first = rank * SLOTS_PER_RANK;
            let own = sets.flat_map(|set| set[first..first + SLOTS_PER_RANK].to_vec());
            let counts = RankCounts {
                step: now_ms / 60,
                active_map_id: self.active.0,
                copied_map_id: self.copied_map_id,
                highest_map_id: self.copied_map_id,
                choices: choices.to_vec(),
                slots: own.collect(),
                pace_percent: 100,
            };
            let rank = u32::try_from(rank).unwrap();
            self.planner.on_counts(rank, counts, now_ms);
        }
    }

    fn skew(&self, now_ms: u64) -> f64 {
        let load = ExpertLoad::new((0..self.sets).map(|set| popularity(set, now_ms)).collect());
        skew_with_slowdowns(&self.active.1, &load, &[1.0; RANKS])
    }
}

fn as_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap())
}

fn initial_layout(sets: usize) -> ExpertLayout {
    let slots_of = |rank: usize| {
        let held = (rank..EXPERTS).step_by(RANKS);
        let mut slots: Vec<u32> = held.map(|e| u32::try_from(e + 1).unwrap()).collect();
        slots.resize(SLOTS_PER_RANK, 0);
        slots
    };
    let slots = (0..sets).flat_map(|_| (0..RANKS).flat_map(slots_of));
    let slots = ExpertSlots::new(RANKS, SLOTS_PER_RANK, slots.collect()).unwrap();
    slots.layout().unwrap()
}

/// Returns the popularity of each expert of a set: a few are popular, others after each jump.
fn popularity(set: usize, now_ms: u64) -> Vec<f64> {
    let jumps = usize::try_from(now_ms / JUMP_INTERVAL_MS).unwrap();
    let place = |expert: usize| (expert * 17 + set * 11 + jumps * 19 + expert * jumps) % EXPERTS;
    let weight = |expert| 1.0 / (1.0 + f64::from(u32::try_from(place(expert)).unwrap()));
    let weights: Vec<f64> = (0..EXPERTS).map(weight).collect();
    let total: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / total).collect()
}

fn no_choices(sets: usize) -> Vec<u32> {
    vec![0; sets * EXPERTS]
}

/// Returns the choices of a rank in the round before `now_ms`, during which demand may have jumped.
fn choices_of_round(sets: usize, now_ms: u64) -> Vec<u32> {
    let since_jump_ms = now_ms % JUMP_INTERVAL_MS;
    let new_share = as_f64(since_jump_ms.min(ROUND_MS)) / as_f64(ROUND_MS);
    let before_ms = now_ms.saturating_sub(ROUND_MS);
    let mut choices = Vec::new();
    for set in 0..sets {
        let old = popularity(set, before_ms);
        let new = popularity(set, now_ms);
        for (old, new) in old.iter().zip(new) {
            let share = old * (1.0 - new_share) + new * new_share;
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            choices.push((share * CHOICES_PER_ROUND) as u32);
        }
    }
    choices
}

/// Returns the mean skew while demand jumps, and the number of plans.
fn replay(sets: usize, copy_ms: u64) -> (f64, usize) {
    let mut group = Group::new(sets, copy_ms);
    let mut sum = 0.0;
    for tick in 1..=DURATION_MS / TICK_MS {
        let now_ms = tick * TICK_MS;
        group.tick(now_ms);
        sum += group.skew(now_ms);
    }
    (sum / as_f64(DURATION_MS / TICK_MS), group.plans)
}

/// Returns the mean skew of a group that is out of balance for `reaction_ms` after each jump.
fn mean_skew_after(sets: usize, reaction_ms: u64) -> f64 {
    let skew_after_jump = Group::new(sets, 1).skew(0);
    let share = as_f64(reaction_ms) / as_f64(JUMP_INTERVAL_MS);
    BALANCED_SKEW + share * (skew_after_jump - BALANCED_SKEW)
}

#[googletest::test]
fn a_jump_in_demand_waited_for_the_second_expert_where_copies_take_long() {
    let copy_ms = 400;
    let (mean, plans) = replay(2, copy_ms);
    let bound = mean_skew_after(2, REACTION_MS + copy_ms);
    expect_that!(mean, le(bound), "{plans} plans");
}

#[googletest::test]
fn a_jump_in_demand_took_many_plans_where_copies_are_fast() {
    let copy_ms = 10;
    let (mean, plans) = replay(12, copy_ms);
    expect_that!(mean, le(mean_skew_after(12, REACTION_MS)), "{plans} plans");
    let jumps = DURATION_MS.div_ceil(JUMP_INTERVAL_MS);
    expect_that!(u64::try_from(plans).unwrap(), le(2 * jumps));
}
