//! Tests of individual rules of the map participant.

use googletest::prelude::*;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::MapAction;
use pomeloramp_lib::MapEngineReport;
use pomeloramp_lib::MapOrder;
use pomeloramp_lib::MapParticipant;
use pomeloramp_lib::MapReply;
use pomeloramp_lib::MapRequest;
use pomeloramp_lib::StagedMap;
use pomeloramp_lib::protos::control::DecideMapRequest;
use pomeloramp_lib::protos::control::ExpertMap;
use pomeloramp_lib::protos::control::MapRefusal;
use pomeloramp_lib::protos::control::MapStateReply;
use pomeloramp_lib::protos::control::MapStateRequest;
use pomeloramp_lib::protos::control::PrepareMapRequest;
use pomeloramp_testutils::FakeRankEngine;

const GROUP_INCARNATION: u64 = 1;
const AGENT_INCARNATION: u64 = 5;
const SWITCH_STEP: u64 = 10;

struct Rank {
    engine: FakeRankEngine,
    participant: MapParticipant,
}

impl Rank {
    fn new(engine: FakeRankEngine) -> Self {
        let mut rank = Self {
            engine,
            participant: MapParticipant::new(Incarnation(AGENT_INCARNATION), 0),
        };
        let actions = rank.participant.tick(0);
        rank.execute(actions);
        rank
    }

    /// Executes orders, including those that follow from their reports; returns the other actions.
    fn execute(&mut self, actions: Vec<MapAction>) -> Vec<MapAction> {
        let mut other_actions = Vec::new();
        for action in actions {
            let MapAction::Order(order) = action else {
                other_actions.push(action);
                continue;
            };
            let report = self.engine.apply(&order);
            let actions = self.participant.on_engine_report(report, 0);
            other_actions.extend(self.execute(actions));
        }
        other_actions
    }

    fn request_refusal(&mut self, request: &MapRequest) -> MapRefusal {
        let actions = self.participant.on_request(1, request);
        let other_actions = self.execute(actions);
        refusal(&other_actions)
    }
}

fn refusal(actions: &[MapAction]) -> MapRefusal {
    match actions {
        [MapAction::Reply { reply, .. }] => match reply {
            MapReply::Prepare(reply) => reply.reason(),
            MapReply::Decide(reply) => reply.reason(),
            MapReply::State(reply) => reply.reason(),
        },
        _ => panic!("expected one reply: {actions:?}"),
    }
}

fn rank() -> Rank {
    Rank::new(FakeRankEngine::new(GROUP_INCARNATION, 0))
}

fn prepare(map_id: u64) -> PrepareMapRequest {
    PrepareMapRequest {
        group_incarnation: GROUP_INCARNATION,
        ballot: map_id,
        map: Some(ExpertMap {
            map_id,
            replicas: Vec::new(),
        }),
        switch_step: SWITCH_STEP,
        agent_incarnation: AGENT_INCARNATION,
    }
}

fn query(ballot: u64) -> MapRequest {
    MapRequest::State(MapStateRequest {
        group_incarnation: GROUP_INCARNATION,
        ballot,
        map_id: 1,
        agent_incarnation: AGENT_INCARNATION,
    })
}

fn decide(ballot: u64, map_id: u64, commit: bool) -> MapRequest {
    MapRequest::Decide(DecideMapRequest {
        group_incarnation: GROUP_INCARNATION,
        ballot,
        map_id,
        commit,
        agent_incarnation: AGENT_INCARNATION,
    })
}

#[googletest::test]
fn requests_are_refused_before_the_engine_was_read() {
    let mut participant = MapParticipant::new(Incarnation(AGENT_INCARNATION), 0);
    for request in [
        MapRequest::Prepare(prepare(1)),
        query(1),
        decide(1, 1, true),
    ] {
        let actions = participant.on_request(1, &request);
        expect_that!(refusal(&actions), eq(MapRefusal::NotReady));
    }
}

#[googletest::test]
fn a_promise_holds_the_engine_until_the_decision() {
    let mut rank = rank();
    let promised = rank.request_refusal(&MapRequest::Prepare(prepare(1)));
    expect_that!(promised, eq(MapRefusal::Unspecified));
    rank.engine.step = SWITCH_STEP;
    expect_that!(rank.engine.begin_step(), eq(false));
    let committed = rank.request_refusal(&decide(1, 1, true));
    expect_that!(committed, eq(MapRefusal::Unspecified));
    expect_that!(rank.engine.begin_step(), eq(true));
    expect_that!(rank.engine.active_map_id, eq(1));
}

#[googletest::test]
fn a_passed_switch_step_is_refused() {
    let mut polled = rank();
    polled.engine.step = SWITCH_STEP;
    let actions = polled.participant.tick(1);
    polled.execute(actions);
    let refused = polled.request_refusal(&MapRequest::Prepare(prepare(1)));
    expect_that!(refused, eq(MapRefusal::StepPassed));
    expect_that!(polled.engine.staged, none());

    let mut unpolled = rank();
    unpolled.engine.step = SWITCH_STEP;
    let refused = unpolled.request_refusal(&MapRequest::Prepare(prepare(1)));
    expect_that!(refused, eq(MapRefusal::StepPassed));
    expect_that!(unpolled.engine.staged, none());
}

#[googletest::test]
fn lower_ballots_are_refused() {
    let mut rank = rank();
    expect_that!(rank.request_refusal(&query(2)), eq(MapRefusal::Unspecified));
    let refused = rank.request_refusal(&MapRequest::Prepare(prepare(1)));
    expect_that!(refused, eq(MapRefusal::LowerBallot));
    expect_that!(
        rank.request_refusal(&decide(1, 1, false)),
        eq(MapRefusal::LowerBallot)
    );
}

#[googletest::test]
fn a_map_id_is_used_once() {
    let mut rank = rank();
    expect_that!(
        rank.request_refusal(&MapRequest::Prepare(prepare(1))),
        eq(MapRefusal::Unspecified)
    );
    // A duplicated prepare request gets the same reply while the map is undecided.
    expect_that!(
        rank.request_refusal(&MapRequest::Prepare(prepare(1))),
        eq(MapRefusal::Unspecified)
    );
    expect_that!(
        rank.request_refusal(&decide(1, 1, false)),
        eq(MapRefusal::Unspecified)
    );
    expect_that!(
        rank.request_refusal(&MapRequest::Prepare(prepare(1))),
        eq(MapRefusal::LowerBallot)
    );
    let mut other_id = prepare(2);
    other_id.ballot = 3;
    expect_that!(
        rank.request_refusal(&MapRequest::Prepare(other_id)),
        eq(MapRefusal::Invalid)
    );
}

#[googletest::test]
fn a_second_map_waits_for_the_first() {
    let mut rank = rank();
    expect_that!(
        rank.request_refusal(&MapRequest::Prepare(prepare(1))),
        eq(MapRefusal::Unspecified)
    );
    expect_that!(
        rank.request_refusal(&MapRequest::Prepare(prepare(2))),
        eq(MapRefusal::MapPending)
    );
    expect_that!(
        rank.request_refusal(&decide(2, 1, true)),
        eq(MapRefusal::Unspecified)
    );
    expect_that!(
        rank.request_refusal(&MapRequest::Prepare(prepare(3))),
        eq(MapRefusal::MapPending)
    );
    expect_that!(
        rank.request_refusal(&decide(3, 1, false)),
        eq(MapRefusal::Contradicts)
    );
}

#[googletest::test]
fn a_restarted_agent_restores_its_state_and_refuses_requests_to_its_former_process() {
    let mut first_agent = rank();
    expect_that!(
        first_agent.request_refusal(&MapRequest::Prepare(prepare(2))),
        eq(MapRefusal::Unspecified)
    );
    let mut restarted_agent = Rank::new(first_agent.engine);
    expect_that!(
        restarted_agent.request_refusal(&query(1)),
        eq(MapRefusal::LowerBallot)
    );
    let mut former_request = prepare(3);
    former_request.agent_incarnation = AGENT_INCARNATION - 1;
    let refused = restarted_agent.request_refusal(&MapRequest::Prepare(former_request));
    expect_that!(refused, eq(MapRefusal::OtherIncarnation));
    expect_that!(
        restarted_agent.request_refusal(&decide(3, 2, true)),
        eq(MapRefusal::Unspecified)
    );
}

#[googletest::test]
fn a_request_to_another_incarnation_of_the_group_is_refused() {
    let mut rank = rank();
    rank.engine = FakeRankEngine::new(GROUP_INCARNATION + 1, 0);
    // The agent does not know about the new incarnation when it orders the engine to stage the map.
    let refused = rank.request_refusal(&MapRequest::Prepare(prepare(1)));
    expect_that!(refused, eq(MapRefusal::OtherGroup));
    expect_that!(rank.engine.staged, none());
    expect_that!(rank.request_refusal(&query(2)), eq(MapRefusal::OtherGroup));
}

#[googletest::test]
fn a_late_stage_order_of_a_former_process_is_released() {
    let mut rank = rank();
    let map = prepare(1).map.unwrap_or_default();
    let switch_step = SWITCH_STEP;
    rank.engine.apply(&MapOrder::Stage { map, switch_step });
    let actions = rank.participant.tick(1);
    rank.execute(actions);
    expect_that!(rank.engine.staged, none());
}

#[googletest::test]
fn a_map_staged_after_its_switch_step_is_released_when_the_engine_is_read() {
    let mut engine = FakeRankEngine::new(GROUP_INCARNATION, 0);
    engine.step = SWITCH_STEP;
    engine.is_running = true;
    engine.staged = Some(StagedMap {
        map_id: 1,
        switch_step: SWITCH_STEP,
        committed: false,
    });
    let rank = Rank::new(engine);
    expect_that!(rank.engine.staged, none());
}

#[googletest::test]
fn an_order_in_flight_makes_the_agent_busy() {
    let mut participant = MapParticipant::new(Incarnation(AGENT_INCARNATION), 0);
    let mut engine = FakeRankEngine::new(GROUP_INCARNATION, 0);
    let report: MapEngineReport = engine.apply(&MapOrder::Read);
    participant.on_engine_report(report, 0);
    participant.on_request(1, &MapRequest::Prepare(prepare(1)));
    let actions = participant.on_request(2, &query(2));
    expect_that!(refusal(&actions), eq(MapRefusal::Busy));
    let replies = participant.on_engine_lost();
    expect_that!(refusal(&replies), eq(MapRefusal::Busy));
    let actions = participant.on_request(3, &query(2));
    expect_that!(refusal(&actions), eq(MapRefusal::NotReady));
}

#[googletest::test]
fn an_undecided_rank_learns_the_decision_from_a_peer() {
    for (committed_map_id, aborted_map_id) in [(1, 0), (0, 1)] {
        let mut rank = rank();
        rank.request_refusal(&MapRequest::Prepare(prepare(1)));
        let actions = rank.participant.on_peer_state(&MapStateReply {
            group_incarnation: GROUP_INCARNATION,
            committed_map_id,
            aborted_map_id,
            ..MapStateReply::default()
        });
        rank.execute(actions);
        let is_committed = rank.engine.staged.is_some_and(|staged| staged.committed);
        expect_that!(is_committed, eq(committed_map_id == 1));
        expect_that!(rank.engine.staged.is_some(), eq(committed_map_id == 1));
    }
}

#[googletest::test]
fn an_undecided_rank_asks_its_peers_and_then_recovers() {
    let mut rank = rank();
    rank.request_refusal(&MapRequest::Prepare(prepare(1)));
    let first_actions = rank.participant.tick(200);
    expect_that!(first_actions, contains(eq(&MapAction::AskPeers)));
    expect_that!(first_actions, not(contains(eq(&MapAction::Recover))));
    let later_actions = rank.participant.tick(500);
    expect_that!(later_actions, contains(eq(&MapAction::Recover)));
}

/// Guards against a group that stands because an agent which was about to end had its rank held.
#[googletest::test]
fn an_agent_that_was_about_to_end_held_its_rank() {
    let mut rank = rank();
    rank.participant.close();
    let read = rank.request_refusal(&query(0));
    expect_that!(read, eq(MapRefusal::NotReady));
    let refusal = rank.request_refusal(&MapRequest::Prepare(prepare(1)));
    expect_that!(refusal, eq(MapRefusal::NotStaged));
    expect_that!(rank.engine.staged, none());
    expect_that!(rank.participant.is_settled(), eq(true));
}

/// Guards against an agent that ends before the map it has promised is decided.
#[googletest::test]
fn an_agent_counted_as_done_before_its_promise_was_decided() {
    let mut rank = rank();
    let promise = rank.request_refusal(&MapRequest::Prepare(prepare(1)));
    expect_that!(promise, eq(MapRefusal::Unspecified));
    rank.participant.close();
    expect_that!(rank.participant.is_settled(), eq(false));
    let repeated = rank.request_refusal(&MapRequest::Prepare(prepare(1)));
    expect_that!(repeated, eq(MapRefusal::Unspecified));
    let decided = rank.request_refusal(&decide(1, 1, true));
    expect_that!(decided, eq(MapRefusal::Unspecified));
    expect_that!(rank.participant.is_settled(), eq(true));
}
