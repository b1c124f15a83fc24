//! Tests of the planner of a rank group on the direct path, without a running group.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::ExpertLayout;
use pomeloramp_lib::ExpertLoad;
use pomeloramp_lib::ExpertModel;
use pomeloramp_lib::ExpertSlots;
use pomeloramp_lib::GroupModel;
use pomeloramp_lib::GroupPlanner;
use pomeloramp_lib::MapOutcome;
use pomeloramp_lib::MapSearch;
use pomeloramp_lib::PlannerAction;
use pomeloramp_lib::SearchBounds;
use pomeloramp_lib::protos::control::RankCounts;
use pomeloramp_lib::skew_with_slowdowns;

const RANKS: usize = 4;
const EXPERTS: usize = 8;
const SLOTS_PER_RANK: usize = 3;
const NONCE: u32 = 7;
const ROUND_MS: u64 = 100;

fn model() -> GroupModel {
    GroupModel {
        experts: ExpertModel {
            set_count: 1,
            expert_count: 8,
            slots_per_rank: 3,
            max_new_per_rank: 2,
            expert_mb: 1.0,
            link_mbit_per_s: 1_000.0,
            work_share: 0.85,
        },
        target_pause_ms: 120,
    }
}

/// Returns the slots of a rank in the initial map, which assigns experts round-robin.
fn initial_slots(rank: usize) -> Vec<u32> {
    let experts = (rank..EXPERTS).step_by(RANKS);
    let mut slots: Vec<u32> = experts.map(|e| u32::try_from(e + 1).unwrap()).collect();
    slots.resize(SLOTS_PER_RANK, 0);
    slots
}

/// Returns the layout of the initial map.
fn initial_layout() -> ExpertLayout {
    let slots = (0..RANKS).flat_map(initial_slots).collect();
    let slots = ExpertSlots::new(RANKS, SLOTS_PER_RANK, slots).unwrap();
    slots.layout().unwrap()
}

/// Returns the bounds of a search that may add `max_new` experts to a rank.
fn bounds(max_new: usize) -> SearchBounds {
    SearchBounds::builder()
        .max_new_per_rank_and_set(max_new)
        .max_new_per_rank(max_new)
        .min_gain(0.01)
        .build()
}

/// Returns the layout that a single search finds, if it finds a worthwhile change.
fn search_map(
    current: &ExpertLayout,
    load: &ExpertLoad,
    slowdowns: &[f64],
    bounds: SearchBounds,
) -> Option<ExpertLayout> {
    let mut search = MapSearch::new(current, load, slowdowns);
    search.extend(bounds).then(|| search.layout())
}

fn expect_every_expert_is_held(layout: &ExpertLayout) {
    for expert in 0..EXPERTS {
        let holders = (0..RANKS).filter(|rank| layout.layers()[0].holds(*rank, expert));
        expect_that!(holders.count(), ge(1));
    }
}

fn counts(
    rank: usize,
    hot: usize,
    step: u64,
    active_map_id: u64,
    copied_map_id: u64,
) -> RankCounts {
    let mut choices = vec![1_000; EXPERTS];
    choices[hot] = 20_000;
    RankCounts {
        step,
        active_map_id,
        copied_map_id,
        highest_map_id: copied_map_id,
        choices,
        slots: initial_slots(rank),
        pace_percent: 100,
    }
}

/// Reports one round to the planner, in which the requests of every rank chose `hot` most.
fn report_round(planner: &mut GroupPlanner, hot: usize, step: u64, maps: (u64, u64), now_ms: u64) {
    for rank in 0..RANKS {
        let reported = counts(rank, hot, step, maps.0, maps.1);
        planner.on_counts(u32::try_from(rank).unwrap(), reported, now_ms);
    }
}

fn copied_map(action: Option<PlannerAction>) -> Option<(u64, ExpertSlots)> {
    match action {
        Some(PlannerAction::Copy { map_id, slots, .. }) => Some((map_id, slots)),
        Some(PlannerAction::Propose { .. }) | None => None,
    }
}

#[googletest::test]
fn a_hot_expert_is_replicated_and_proposed_once_copied() {
    let mut planner = GroupPlanner::new(model(), RANKS, NONCE);
    report_round(&mut planner, 0, 1, (0, 0), ROUND_MS);
    let (map_id, slots) = copied_map(planner.advance(ROUND_MS)).unwrap();
    let layout = slots.layout().unwrap();
    let holders = (0..RANKS).filter(|rank| layout.layers()[0].holds(*rank, 0));
    expect_that!(holders.count(), ge(2));
    expect_that!(planner.advance(ROUND_MS + 1), none());

    report_round(&mut planner, 0, 4, (0, map_id), 2 * ROUND_MS);
    let proposed = planner.advance(2 * ROUND_MS);
    let min_step = 4;
    expect_that!(
        proposed,
        some(eq(&PlannerAction::Propose { map_id, min_step }))
    );
}

#[googletest::test]
fn a_map_id_is_not_used_again_when_a_jump_of_demand_drops_its_plan() {
    let mut planner = GroupPlanner::new(model(), RANKS, NONCE);
    report_round(&mut planner, 0, 1, (0, 0), ROUND_MS);
    let (first_id, first) = copied_map(planner.advance(ROUND_MS)).unwrap();
    report_round(&mut planner, 5, 3, (0, 0), 2 * ROUND_MS);
    report_round(&mut planner, 5, 5, (0, 0), 3 * ROUND_MS);
    let (second_id, second) = copied_map(planner.advance(3 * ROUND_MS)).unwrap();
    expect_that!(second, not(eq(&first)));
    expect_that!(second_id, gt(first_id));
}

/// Returns counts of ranks that use map 0, of which rank 1 has copied another map than the rest.
fn report_late_copy(planner: &mut GroupPlanner, late_map_id: u64, now_ms: u64) {
    for rank in 0..RANKS {
        let copied_map_id = if rank == 1 { late_map_id } else { 0 };
        let reported = RankCounts {
            highest_map_id: 0,
            ..counts(rank, 0, 1, 0, copied_map_id)
        };
        planner.on_counts(u32::try_from(rank).unwrap(), reported, now_ms);
    }
}

/// Guards against plans that a rank refuses for seconds, after a late copy of a map that all agents have
/// forgotten (review case 12): three planners in a row know of none before.
#[googletest::test]
fn a_plan_below_a_late_copy_was_kept_until_its_timeout() {
    let mut late_map_id = 0;
    for nonce in [9, 5, 1] {
        let mut planner = GroupPlanner::new(model(), RANKS, nonce);
        report_late_copy(&mut planner, 0, ROUND_MS);
        let (lower_id, _) = copied_map(planner.advance(ROUND_MS)).unwrap();
        late_map_id = late_map_id.max(lower_id + 1);
        report_late_copy(&mut planner, late_map_id, 2 * ROUND_MS);
        expect_that!(planner.advance(2 * ROUND_MS), none());
        let (next_id, _) = copied_map(planner.advance(5 * ROUND_MS)).unwrap();
        expect_that!(next_id, gt(late_map_id));
        late_map_id = next_id;
    }
}

/// Guards against a planner that starts after a late copy and numbers its map below that.
#[googletest::test]
fn a_new_planner_numbered_its_map_below_a_late_copy() {
    let late_map_id = (1 << 32) + 9;
    let mut planner = GroupPlanner::new(model(), RANKS, NONCE);
    report_late_copy(&mut planner, late_map_id, ROUND_MS);
    let (map_id, _) = copied_map(planner.advance(ROUND_MS)).unwrap();
    expect_that!(map_id, gt(late_map_id));
}

#[googletest::test]
fn no_plan_is_made_before_all_ranks_use_the_committed_map() {
    let mut planner = GroupPlanner::new(model(), RANKS, NONCE);
    report_round(&mut planner, 0, 1, (0, 0), ROUND_MS);
    let (map_id, _) = copied_map(planner.advance(ROUND_MS)).unwrap();
    report_round(&mut planner, 0, 4, (0, map_id), 2 * ROUND_MS);
    assert_that!(planner.advance(2 * ROUND_MS), some(anything()));
    planner.on_outcome(Some(MapOutcome::Committed { map_id }), 2 * ROUND_MS + 10);

    // The demand has jumped, but the ranks still use the previous map.
    report_round(&mut planner, 5, 6, (0, map_id), 4 * ROUND_MS);
    expect_that!(planner.advance(4 * ROUND_MS), none());
    report_round(&mut planner, 5, 8, (map_id, map_id), 5 * ROUND_MS);
    expect_that!(copied_map(planner.advance(5 * ROUND_MS)), some(anything()));
}

#[googletest::test]
fn a_search_stays_within_its_bounds() {
    let loads: Vec<f64> = (0..EXPERTS)
        .map(|e| if e == 1 { 50.0 } else { 5.0 })
        .collect();
    let load = ExpertLoad::new(vec![loads]);
    let current = initial_layout();
    let bounds = bounds(1);
    let found = search_map(&current, &load, &[1.0; RANKS], bounds).unwrap();
    expect_that!(found.skew(&load), lt(current.skew(&load)));
    for rank in 0..RANKS {
        let held = (0..EXPERTS).filter(|expert| found.layers()[0].holds(rank, *expert));
        let new = held.filter(|expert| !current.layers()[0].holds(rank, *expert));
        expect_that!(new.count(), le(1));
    }
    expect_every_expert_is_held(&found);
}

#[googletest::test]
fn a_slow_rank_gets_less_load() {
    let load = ExpertLoad::new(vec![vec![10.0; EXPERTS]]);
    let current = initial_layout();
    let bounds = bounds(2);
    expect_that!(search_map(&current, &load, &[1.0; RANKS], bounds), none());
    let slowdowns = [3.0, 1.0, 1.0, 1.0];
    let found = search_map(&current, &load, &slowdowns, bounds).unwrap();
    let loads = found.layers()[0].rank_loads(load.layer(0));
    expect_that!(loads[0], lt(15.0));
    expect_that!(
        skew_with_slowdowns(&found, &load, &slowdowns),
        lt(skew_with_slowdowns(&current, &load, &slowdowns))
    );
}

#[googletest::test]
fn a_very_slow_rank_keeps_no_expert_that_other_ranks_have_slots_for() {
    let load = ExpertLoad::new(vec![vec![10.0; EXPERTS]]);
    let current = initial_layout();
    let bounds = bounds(2);
    let slowdowns = [12.0, 1.0, 1.0, 1.0];
    let found = search_map(&current, &load, &slowdowns, bounds).unwrap();
    let loads = found.layers()[0].rank_loads(load.layer(0));
    expect_that!(loads[0], eq(0.0));
    expect_every_expert_is_held(&found);
    let slots = ExpertSlots::from_layout(&found).unwrap();
    expect_that!(slots.layout(), some(eq(&found)));
}

/// Returns the ranks to which a map is sent.
fn recipients(action: Option<PlannerAction>) -> Vec<u32> {
    match action {
        Some(PlannerAction::Copy { ranks, .. }) => ranks,
        Some(PlannerAction::Propose { .. }) | None => Vec::new(),
    }
}

/// Guards against resending a plan to ranks that have already received it.
#[googletest::test]
fn a_plan_is_resent_only_to_ranks_that_have_not_received_it() {
    let mut planner = GroupPlanner::new(model(), RANKS, NONCE);
    report_round(&mut planner, 0, 1, (0, 0), ROUND_MS);
    let first = planner.advance(ROUND_MS);
    expect_that!(
        recipients(first.clone()),
        elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]
    );
    let (map_id, _) = copied_map(first).unwrap();
    let later_ms = 3 * ROUND_MS;
    for rank in 0..RANKS {
        let highest_map_id = if rank == 2 { 0 } else { map_id };
        let reported = RankCounts {
            highest_map_id,
            ..counts(rank, 0, 2, 0, 0)
        };
        planner.on_counts(u32::try_from(rank).unwrap(), reported, later_ms);
    }
    expect_that!(recipients(planner.advance(later_ms)), elements_are![eq(&2)]);
    // A rank that received the plan long ago and has not copied it may have lost the order.
    let much_later_ms = 8 * ROUND_MS;
    expect_that!(recipients(planner.advance(much_later_ms)).len(), eq(RANKS));
}

/// Numbers of ranks, slots per rank, sets of layers and experts per set of the largest groups in use.
const LARGE_GROUP: (usize, usize, usize, usize) = (72, 3, 12, 144);
/// Processor time that a search may take in a build without optimisation.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(500);

/// Returns the initial layout of such a group, in which some slots are free.
fn large_group_layout() -> ExpertLayout {
    let (ranks, slots_per_rank, sets, experts) = LARGE_GROUP;
    let slots_of = |rank: usize| {
        let held = (rank..experts).step_by(ranks);
        let mut slots: Vec<u32> = held.map(|e| u32::try_from(e + 1).unwrap()).collect();
        slots.resize(slots_per_rank, 0);
        slots
    };
    let slots = (0..sets)
        .flat_map(|_| (0..ranks).flat_map(slots_of))
        .collect();
    let slots = ExpertSlots::new(ranks, slots_per_rank, slots).unwrap();
    slots.layout().unwrap()
}

/// Returns the processor time that this thread has used, which other processes do not lengthen.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanoseconds = text.split_whitespace().next().unwrap();
    Duration::from_nanos(nanoseconds.parse().unwrap())
}

/// Guards against searches that block the planner for seconds in the largest groups.
#[googletest::test]
fn a_search_for_the_largest_groups_is_fast() {
    let (ranks, _, sets, experts) = LARGE_GROUP;
    let loads = (0..sets).map(|set| {
        let popularity = |expert: usize| 1.0 / (1.0 + as_f64((expert * 29 + set * 31) % experts));
        (0..experts).map(popularity).collect()
    });
    let load = ExpertLoad::new(loads.collect());
    let current = large_group_layout();
    let bounds = SearchBounds::builder()
        .max_new_per_rank_and_set(1)
        .max_new_per_rank(2)
        .min_gain(0.015)
        .build();
    let started = processor_time();
    let found = search_map(&current, &load, &vec![1.0; ranks], bounds).unwrap();
    expect_that!(processor_time(), lt(started + MAX_SEARCH_TIME));
    expect_that!(found.moves_from(&current), gt(100));
    expect_that!(found.skew(&load), lt(current.skew(&load) * 0.6));
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Guards against a planner that uses its processor for searches which find nothing.
#[googletest::test]
fn a_planner_that_finds_no_plan_searches_rarely() {
    let mut model = model();
    model.experts.max_new_per_rank = 0;
    let mut planner = GroupPlanner::new(model, RANKS, NONCE);
    let mut searches = 0;
    for tick in 1..=80 {
        let now_ms = tick * 25;
        if now_ms % ROUND_MS == 0 {
            report_round(&mut planner, 0, now_ms / 60, (0, 0), now_ms);
        }
        expect_that!(planner.advance(now_ms), none());
        searches = planner.search_count();
    }
    expect_that!(searches, gt(0));
    expect_that!(searches, le(MAX_SEARCHES_IN_2_S));
}

/// Searches that a planner makes in two seconds while none finds a plan and demand does not jump.
const MAX_SEARCHES_IN_2_S: u64 = 12;
