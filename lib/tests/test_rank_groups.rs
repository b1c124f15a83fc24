//! Tests of the agreement on expert maps between processes: agents of a rank group are killed,
//! suspended and replaced.

use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::CoordinatorRequest;
use pomeloramp_lib::MapOutcome;
use pomeloramp_lib::MapRequest;
use pomeloramp_lib::protos::control::ExpertReplica;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::rank_coordinator::RankCoordinator;
use pomeloramp_testutils::rank_fleet::RankFleet;
use pomeloramp_testutils::rank_fleet::RankPlan;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

const RANKS: usize = 4;
/// Lead time of a switch that happens after all messages have arrived.
const FAR_STEPS: u64 = 150;
/// Lead time of a switch that leaves time for a recovery and for the operations after it.
const LATE_STEPS: u64 = 400;
/// Number of steps after which concurrent recoveries by several ranks have ended, unless the
/// machine is slow.
const SETTLING_STEPS: u64 = 100;
const MAX_ATTEMPTS: usize = 20;
/// Lead time of a switch that happens soon after the last of 12 messages that take a step each.
const CLOSE_STEPS: u64 = 20;
const CHANGES: usize = 6;
const PLANNED_MAPS: usize = 3;
const SUSPENSIONS: usize = 8;
const SEED: u64 = 20_261_203;

fn start() -> RankFleet {
    RankFleet::start(RankPlan::builder().build())
}

fn committed(map_id: u64) -> MapOutcome {
    MapOutcome::Committed { map_id }
}

fn aborted(map_id: u64) -> MapOutcome {
    MapOutcome::Aborted { map_id }
}

fn as_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn map_id(coordinator: &RankCoordinator) -> u64 {
    coordinator.map_id().expect("a map was proposed")
}

fn replica(expert: u32, rank: u32) -> ExpertReplica {
    ExpertReplica {
        layer: 0,
        expert,
        rank,
    }
}

fn is_decision(request: &CoordinatorRequest) -> bool {
    matches!(request.request, MapRequest::Decide(_))
}

fn is_commit(request: &CoordinatorRequest) -> bool {
    matches!(&request.request, MapRequest::Decide(decision) if decision.commit)
}

fn is_prepare_beyond(request: &CoordinatorRequest, ranks: usize) -> bool {
    request.rank >= ranks && matches!(request.request, MapRequest::Prepare(_))
}

/// Returns a coordinator whose map only the lowest `ranks` ranks have staged. It withholds further
/// requests: the prepares for the other ranks, or the commits if all ranks have promised.
fn coordinator_stopped_at(
    fleet: &RankFleet,
    shift: u32,
    lead_steps: u64,
    ranks: usize,
) -> RankCoordinator {
    for _ in 0..MAX_ATTEMPTS {
        let mut coordinator = fleet.propose(shift, lead_steps);
        let is_sent = |request: &CoordinatorRequest| {
            !is_decision(request) && !is_prepare_beyond(request, ranks)
        };
        coordinator.send_matching(is_sent, || {});
        let has_staged = |rank: usize| {
            let staged = fleet.engine(rank)["staged"]["map_id"].as_u64();
            staged.is_some() && staged == coordinator.map_id()
        };
        let has_promises = ranks < RANKS || coordinator.withheld().iter().any(is_commit);
        if has_promises && (0..ranks).all(has_staged) {
            return coordinator;
        }
        // An agent was busy reading its engine or responded late; try again.
        let _ = coordinator.finish();
        fleet.wait_until_unstaged();
    }
    panic!("no map was staged in {MAX_ATTEMPTS} attempts");
}

/// Proposes maps until one is committed, waits until all ranks use it, and returns its id.
fn change_map(fleet: &RankFleet, shift: u32) -> u64 {
    for _ in 0..MAX_ATTEMPTS {
        let mut coordinator = fleet.propose(shift, FAR_STEPS);
        let outcome = coordinator.finish();
        let map_id = map_id(&coordinator);
        if outcome == committed(map_id) {
            fleet.wait_until_used(map_id);
            return map_id;
        }
        assert_that!(outcome, eq(aborted(map_id)));
    }
    panic!("no map was committed in {MAX_ATTEMPTS} attempts");
}

#[googletest::test]
fn every_change_of_the_map_happens_at_one_step() {
    let fleet = start();
    let maps: Vec<u64> = (1..=CHANGES)
        .map(|shift| change_map(&fleet, as_u32(shift)))
        .collect();
    let used = fleet.used_maps();
    expect_that!(used.len(), eq(maps.len() + 1));
    expect_that!(maps, each(predicate(|map_id: &u64| used.contains(map_id))));
    println!("steps held: {}", fleet.held_steps());
}

#[googletest::test]
fn a_change_without_faults_holds_no_step() {
    let fleet = RankFleet::start(RankPlan::builder().step_interval_ms(0).build());
    let mut changes = 0;
    for shift in 1.. {
        let mut coordinator = fleet.propose(shift, CLOSE_STEPS);
        // One step is executed after each request and its reply: 4 reads, 4 prepares and 4
        // decisions.
        coordinator.send_matching(|_| true, || fleet.step());
        let outcome = coordinator.finish();
        let map_id = map_id(&coordinator);
        if outcome != committed(map_id) {
            continue;
        }
        Fleet::wait_for("the switch step comes", || {
            fleet.step();
            fleet.engine(0)["active_map_id"] == map_id
        });
        fleet.wait_until_used(map_id);
        changes += 1;
        if changes == CHANGES {
            break;
        }
    }
    expect_that!(fleet.held_steps(), eq(0));
    expect_that!(fleet.used_maps().len(), eq(CHANGES + 1));
}

#[googletest::test]
fn an_agent_killed_after_all_promised_keeps_its_promise() {
    let mut fleet = start();
    let mut coordinator = coordinator_stopped_at(&fleet, 1, FAR_STEPS, RANKS);
    let map_id = map_id(&coordinator);
    fleet.kill_agent(2);
    fleet.restart_agent(2);
    fleet.wait_until_used(map_id);
    coordinator.set_agents(fleet.rank_agents());
    expect_that!(coordinator.finish(), eq(committed(map_id)));
    fleet.wait_for_steps(20);
    expect_that!(fleet.used_maps(), contains(eq(&map_id)));
}

#[googletest::test]
fn an_agent_killed_before_all_promised_leaves_the_map_unused() {
    let mut fleet = start();
    let mut coordinator = coordinator_stopped_at(&fleet, 1, LATE_STEPS, RANKS - 1);
    let map_id = map_id(&coordinator);
    fleet.kill_agent(3);
    fleet.restart_agent(3);
    fleet.wait_until_unstaged();
    fleet.wait_for_steps(SETTLING_STEPS);
    // The coordinator continues late, with the prepare for the rank that was left out.
    coordinator.set_agents(fleet.rank_agents());
    expect_that!(coordinator.finish(), eq(aborted(map_id)));
    fleet.wait_for_steps(LATE_STEPS);
    change_map(&fleet, 2);
    expect_that!(fleet.used_maps(), not(contains(eq(&map_id))));
}

#[googletest::test]
fn a_coordinator_that_resumes_late_does_not_undo_what_another_decided() {
    let fleet = start();
    let mut late_coordinator = coordinator_stopped_at(&fleet, 1, LATE_STEPS, RANKS - 1);
    let late_map = map_id(&late_coordinator);
    fleet.wait_until_unstaged();
    fleet.wait_for_steps(SETTLING_STEPS);
    // The rank that was left out receives its prepare now, well before the switch step.
    let outcome = late_coordinator.finish();
    fleet.wait_for_steps(LATE_STEPS);
    let other_map = change_map(&fleet, 2);
    let is_unused = [
        aborted(late_map),
        MapOutcome::Superseded { map_id: late_map },
    ];
    expect_that!(is_unused, contains(eq(outcome)));
    fleet.wait_for_steps(20);
    expect_that!(fleet.used_maps().len(), eq(2));
    expect_that!(
        fleet.engine(0)["active_map_id"].as_u64(),
        some(eq(other_map))
    );
}

#[googletest::test]
fn late_decisions_of_a_coordinator_agree_with_those_of_another() {
    let fleet = start();
    let mut late_coordinator = coordinator_stopped_at(&fleet, 1, FAR_STEPS, RANKS);
    let late_map = map_id(&late_coordinator);
    // The ranks decide the map by recovery, and a later map replaces it.
    fleet.wait_until_used(late_map);
    let other_map = change_map(&fleet, 2);
    late_coordinator.send_matching(is_decision, || {});
    fleet.wait_for_steps(20);
    expect_that!(fleet.used_maps(), contains(eq(&late_map)));
    expect_that!(
        fleet.engine(0)["active_map_id"].as_u64(),
        some(eq(other_map))
    );
}

/// Returns whether all responsive ranks wait and report only the suspended rank as unresponsive.
fn is_reported_unresponsive(fleet: &RankFleet, suspended: usize) -> bool {
    let suffix = format!("not heard: rank {suspended}");
    let ranks = fleet.status();
    let is_waiting = |rank: &&Value| {
        let waits_for = rank["waits_for"].as_str();
        waits_for.is_some_and(|waits_for| waits_for.ends_with(&suffix))
    };
    ranks.iter().filter(is_waiting).count() == RANKS - 1
}

/// Suspends the agent of a rank while a map is undecided at all ranks; returns the id of the map.
fn suspend_while_undecided(fleet: &RankFleet, suspended: usize) -> u64 {
    for shift in 1..=MAX_ATTEMPTS {
        let coordinator = coordinator_stopped_at(fleet, as_u32(shift), FAR_STEPS, RANKS);
        fleet.agents[suspended].pause();
        let is_decided = || {
            let is_undecided = |rank| fleet.engine(rank)["staged"]["committed"] == false;
            !(0..RANKS).all(is_undecided)
        };
        Fleet::wait_for("the ranks report the suspended one", || {
            is_reported_unresponsive(fleet, suspended) || is_decided()
        });
        if !is_decided() {
            return map_id(&coordinator);
        }
        // The ranks decided the map before one of them was suspended.
        fleet.agents[suspended].resume();
        fleet.wait_until_unstaged();
    }
    panic!("no agent was suspended in time in {MAX_ATTEMPTS} attempts");
}

#[googletest::test]
fn a_group_with_a_suspended_agent_waits_at_the_switch_step() {
    let fleet = start();
    let map_id = suspend_while_undecided(&fleet, 0);
    Fleet::wait_for("the group waits at the switch step", || {
        let engine = fleet.engine(1);
        engine["held"] == true && engine["step"] == engine["staged"]["switch_step"]
    });
    expect_that!(fleet.engine(1)["staged"]["committed"], eq(&json!(false)));
    expect_that!(fleet.used_maps(), not(contains(eq(&map_id))));
    fleet.agents[0].resume();
    fleet.wait_until_used(map_id);
    fleet.wait_for_steps(20);
    expect_that!(fleet.used_maps(), contains(eq(&map_id)));
}

#[googletest::test]
fn coordinators_at_once_end_as_the_steps_show() {
    let fleet = start();
    let runs: Vec<_> = (1..=3)
        .map(|shift| fleet.propose(shift, FAR_STEPS))
        .map(|mut coordinator| {
            thread::spawn(move || {
                let outcome = coordinator.finish();
                (outcome, map_id(&coordinator))
            })
        })
        .collect();
    let mut committed_maps = Vec::new();
    let mut aborted_maps = Vec::new();
    for run in runs {
        let (outcome, map_id) = run.join().expect("no panic");
        if outcome == committed(map_id) {
            committed_maps.push(map_id);
        } else if outcome == aborted(map_id) {
            aborted_maps.push(map_id);
        }
    }
    fleet.wait_until_unstaged();
    let used = fleet.used_maps();
    expect_that!(
        committed_maps,
        each(predicate(|map_id: &u64| used.contains(map_id)))
    );
    expect_that!(
        aborted_maps,
        each(predicate(|map_id: &u64| !used.contains(map_id)))
    );
    fleet.wait_for_steps(20);
    let _ = fleet.used_maps();
}

#[googletest::test]
fn a_map_whose_weights_a_rank_lacks_is_not_committed() {
    let flags = vec!["--require-weights".to_owned()];
    let fleet = RankFleet::start(RankPlan::builder().flags(flags).build());
    // Only the last rank needs weights that it has not loaded.
    let replicas = vec![replica(0, 0), replica(1, 1), replica(0, 3)];
    let mut coordinator = fleet.propose_map(replicas, FAR_STEPS);
    let outcome = coordinator.finish();
    expect_that!(outcome, eq(aborted(map_id(&coordinator))));
    fleet.wait_for_steps(FAR_STEPS);
    expect_that!(fleet.used_maps().len(), eq(1));
}

#[googletest::test]
fn an_agent_answers_nothing_that_is_meant_for_another_rank() {
    let fleet = start();
    let mut agents = fleet.rank_agents();
    agents.addresses.swap(1, 2);
    let mut coordinator = fleet.propose(1, FAR_STEPS);
    coordinator.set_agents(agents);
    coordinator.send_matching(|_| true, || {});
    expect_that!(coordinator.map_id(), none(), "two ranks must not reply");
    let mut agents = fleet.rank_agents();
    agents.addresses.pop();
    coordinator = fleet.propose(1, FAR_STEPS);
    coordinator.set_agents(agents);
    coordinator.send_matching(|request| request.rank < RANKS - 1, || {});
    expect_that!(coordinator.map_id(), none(), "the numbers of ranks differ");
}

/// Checks that an order of a killed agent does no harm when the engine executes it late, after the
/// group has switched to another map.
fn check_late_order(checks_fencing: bool) {
    let plan = RankPlan::builder().checks_fencing(checks_fencing).build();
    let mut fleet = RankFleet::start(plan);
    change_map(&fleet, 1);
    fleet.delay_next_order(2, "stage");
    let mut coordinator = fleet.propose(2, FAR_STEPS);
    let outcome = coordinator.finish();
    let lost_map = map_id(&coordinator);
    expect_that!(outcome, eq(aborted(lost_map)));
    expect_that!(fleet.late_orders(), eq(1));
    fleet.kill_agent(2);
    fleet.restart_agent(2);
    change_map(&fleet, 3);
    fleet.deliver_late_orders();
    let refused_orders = fleet.group()["refused_orders"].as_u64();
    expect_that!(refused_orders, some(eq(u64::from(checks_fencing))));
    fleet.wait_until_unstaged();
    change_map(&fleet, 4);
    fleet.wait_for_steps(20);
    let used = fleet.used_maps();
    expect_that!(used, not(contains(eq(&lost_map))));
}

#[googletest::test]
fn a_late_order_does_no_harm_at_an_engine_that_ignores_fencing_numbers() {
    check_late_order(false);
}

#[googletest::test]
fn a_late_order_does_no_harm_at_an_engine_that_checks_fencing_numbers() {
    check_late_order(true);
}

#[googletest::test]
fn a_map_proposed_before_a_rank_was_replaced_is_never_used() {
    let mut fleet = start();
    let first_map = change_map(&fleet, 1);
    let mut late_coordinator = coordinator_stopped_at(&fleet, 2, FAR_STEPS, RANKS);
    let late_map = map_id(&late_coordinator);
    fleet.replace_rank(1);
    late_coordinator.set_agents(fleet.rank_agents());
    late_coordinator.send_matching(is_decision, || {});
    fleet.wait_for_steps(2 * FAR_STEPS);
    expect_that!(fleet.used_maps(), not(contains(eq(&late_map))));
    expect_that!(
        fleet.engine(1)["active_map_id"].as_u64(),
        some(eq(first_map))
    );
    change_map(&fleet, 3);
    expect_that!(fleet.used_maps(), not(contains(eq(&late_map))));
}

#[googletest::test]
fn the_lowest_rank_plans_and_the_group_follows() {
    let fleet = RankFleet::start(RankPlan::with_planner());
    Fleet::wait_for("planned maps are used", || {
        fleet.used_maps().len() > PLANNED_MAPS
    });
    let ranks = fleet.status();
    expect_that!(ranks[0]["committed_plans"].as_u64(), some(ge(1)));
    println!("steps held: {}", fleet.held_steps());
}

#[googletest::test]
fn agents_suspended_at_any_moment_while_they_plan_never_split_a_step() {
    let fleet = RankFleet::start(RankPlan::with_planner());
    let mut random = StdRng::seed_from_u64(SEED);
    for _ in 0..SUSPENSIONS {
        let suspended = random.random_range(0..RANKS);
        let running_ms = random.random_range(0..400);
        let suspended_ms = random.random_range(100..1_500);
        thread::sleep(Duration::from_millis(running_ms));
        fleet.agents[suspended].pause();
        thread::sleep(Duration::from_millis(suspended_ms));
        fleet.agents[suspended].resume();
    }
    let used_before = fleet.used_maps().len();
    Fleet::wait_for("further planned maps are used", || {
        fleet.used_maps().len() > used_before
    });
    println!(
        "maps used: {used_before}, steps held: {}",
        fleet.held_steps()
    );
}
