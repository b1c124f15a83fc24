//! Tests of individual rules of the map coordinator.

use googletest::prelude::*;
use pomeloramp_lib::CoordinatorRequest;
use pomeloramp_lib::MapCoordinator;
use pomeloramp_lib::MapOutcome;
use pomeloramp_lib::MapReply;
use pomeloramp_lib::MapRequest;
use pomeloramp_lib::protos::control::DecideMapReply;
use pomeloramp_lib::protos::control::MapStateReply;
use pomeloramp_testutils::MapGroup;

const MAP_ID: u64 = 7;
const RANKS: usize = 3;

fn state(prepared_map_id: u64, committed_map_id: u64) -> MapReply {
    MapReply::State(MapStateReply {
        prepared_map_id,
        committed_map_id,
        highest_ballot: MAP_ID,
        group_incarnation: 1,
        agent_incarnation: 1,
        ..MapStateReply::default()
    })
}

fn coordinator() -> MapCoordinator {
    MapCoordinator::builder()
        .group_incarnation(1)
        .rank_count(RANKS)
        .nonce(3)
        .lead_steps(4)
        .build()
}

/// Passes each rank's reply to the coordinator and returns its requests after the last one.
fn deliver_replies(
    coordinator: &mut MapCoordinator,
    requests: &[CoordinatorRequest],
    replies: &[MapReply],
) -> Vec<CoordinatorRequest> {
    let mut next = Vec::new();
    for (request, reply) in requests.iter().zip(replies) {
        assert_that!(next, is_empty());
        next = coordinator.on_reply(request.call_id, request.rank, reply, 0);
    }
    next
}

/// Recovers from the given rank states and returns whether the coordinator decides to commit.
fn recovery_decision(replies: &[MapReply]) -> Option<bool> {
    let mut coordinator = coordinator();
    let reads = coordinator.start(0);
    let queries = deliver_replies(&mut coordinator, &reads, replies);
    let decisions = deliver_replies(&mut coordinator, &queries, replies);
    match decisions.first().map(|request| &request.request) {
        Some(MapRequest::Decide(decide)) => Some(decide.commit),
        _ => None,
    }
}

#[googletest::test]
fn recovery_must_commit_when_all_ranks_are_prepared() {
    let replies = vec![state(MAP_ID, 0); RANKS];
    expect_that!(recovery_decision(&replies), some(eq(true)));
}

#[googletest::test]
fn recovery_commits_when_any_rank_committed() {
    let replies = [state(MAP_ID, 0), state(0, MAP_ID), state(MAP_ID, 0)];
    expect_that!(recovery_decision(&replies), some(eq(true)));
}

#[googletest::test]
fn recovery_aborts_when_a_rank_is_unprepared() {
    let replies = [state(MAP_ID, 0), state(0, 0), state(MAP_ID, 0)];
    expect_that!(recovery_decision(&replies), some(eq(false)));
}

#[googletest::test]
fn recovery_waits_for_every_rank() {
    let mut coordinator = coordinator();
    let reads = coordinator.start(0);
    let replies = vec![state(MAP_ID, 0); RANKS];
    let queries = deliver_replies(&mut coordinator, &reads, &replies);
    let decisions = deliver_replies(&mut coordinator, &queries[1..], &replies[1..]);
    expect_that!(decisions, is_empty());
    let resent = coordinator.tick(10_000);
    expect_that!(resent.len(), eq(1));
    expect_that!(resent[0].rank, eq(0));
}

#[googletest::test]
fn replies_of_an_earlier_phase_are_ignored() {
    let mut coordinator = coordinator();
    let reads = coordinator.start(0);
    let replies = [state(MAP_ID, 0), state(0, 0), state(MAP_ID, 0)];
    let queries = deliver_replies(&mut coordinator, &reads, &replies);
    expect_that!(queries.len(), eq(RANKS));
    let decisions = deliver_replies(&mut coordinator, &reads, &replies);
    expect_that!(decisions, is_empty());
}

#[googletest::test]
fn a_recovery_ends_settled_after_the_decision_was_accepted() {
    let mut coordinator = coordinator();
    let reads = coordinator.start(0);
    let replies = vec![state(MAP_ID, 0); RANKS];
    let queries = deliver_replies(&mut coordinator, &reads, &replies);
    let decisions = deliver_replies(&mut coordinator, &queries, &replies);
    let accepted = MapReply::Decide(DecideMapReply {
        accepted: true,
        ..DecideMapReply::default()
    });
    let reads = deliver_replies(&mut coordinator, &decisions, &vec![accepted; RANKS]);
    deliver_replies(&mut coordinator, &reads, &vec![state(0, MAP_ID); RANKS]);
    expect_that!(coordinator.outcome(), some(eq(MapOutcome::Settled)));
}

#[googletest::test]
fn fault_free_changes_hold_no_step() {
    const CHANGES: usize = 20;
    const LEAD_STEPS: u64 = 6;
    let mut group = MapGroup::new(4, 1);
    for _ in 0..CHANGES {
        group.start_coordinator(0, true, LEAD_STEPS);
        for _ in 0..20 {
            group.run_one_hop();
        }
        let outcome = group.coordinator(0).and_then(MapCoordinator::outcome);
        expect_that!(outcome, some(pat!(MapOutcome::Committed { .. })));
    }
    expect_that!(group.violations, is_empty());
    expect_that!(group.committed.len(), eq(CHANGES));
    let held_steps: u64 = group.engines.iter().map(|engine| engine.held_steps).sum();
    expect_that!(held_steps, eq(0));
    expect_that!(group.engines[0].step, eq(20 * CHANGES as u64));
}

#[googletest::test]
fn a_coordinator_suspended_after_prepare_changes_nothing_when_resumed() {
    let mut group = MapGroup::new(RANKS, 2);
    group.start_coordinator(0, true, 2);
    let all_links = [true; RANKS];
    group.deliver_linked(0, &all_links, 2 * RANKS);
    // Ranks 0 and 1 promise; the prepare request to rank 2 remains in flight.
    group.deliver_linked(0, &[true, true, false], 2);
    group.set_suspended(0, true);
    group.start_coordinator(1, false, 2);
    group.deliver_linked(1, &all_links, 100);
    expect_that!(
        group.coordinator(1).and_then(MapCoordinator::outcome),
        some(eq(MapOutcome::Settled))
    );
    group.set_suspended(0, false);
    for _ in 0..40 {
        group.run_without_faults();
    }
    expect_that!(
        group.coordinator(0).and_then(MapCoordinator::outcome),
        some(pat!(MapOutcome::Aborted { .. }))
    );
    expect_that!(group.committed, is_empty());
    expect_that!(group.violations, is_empty());
}

#[googletest::test]
fn a_commit_that_reached_one_rank_is_completed_by_another_coordinator() {
    let mut group = MapGroup::new(RANKS, 2);
    group.start_coordinator(0, true, 2);
    let all_links = [true; RANKS];
    // All ranks promise, and the commit reaches only rank 0.
    group.deliver_linked(0, &all_links, 4 * RANKS);
    group.deliver_linked(0, &[true, false, false], 1);
    group.execute_order(0);
    expect_that!(group.committed.len(), eq(1));
    group.set_suspended(0, true);
    group.restart_agent(1, false);
    group.start_coordinator(1, false, 2);
    for _ in 0..40 {
        group.run_without_faults();
    }
    let map_id = group
        .coordinator(0)
        .and_then(MapCoordinator::proposed_map_id);
    for engine in &group.engines {
        expect_that!(Some(engine.active_map_id), eq(map_id));
    }
    expect_that!(group.violations, is_empty());
}
