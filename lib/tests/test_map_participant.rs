//! Tests of single rules of a rank's agent in the agreement on expert maps.

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

const GROUP: u64 = 1;
const AGENT: u64 = 5;
const SWITCH_STEP: u64 = 10;

struct Rank {
    engine: FakeRankEngine,
    participant: MapParticipant,
}

impl Rank {
    fn new(engine: FakeRankEngine) -> Self {
        let mut rank = Self {
            engine,
            participant: MapParticipant::new(Incarnation(AGENT), 0),
        };
        let actions = rank.participant.tick(0);
        rank.run(actions);
        rank
    }

    /// Carries out orders until the participant has replied or has nothing more to do.
    fn run(&mut self, actions: Vec<MapAction>) -> Vec<MapAction> {
        let mut others = Vec::new();
        for action in actions {
            let MapAction::Order(order) = action else {
                others.push(action);
                continue;
            };
            let report = self.engine.apply(&order);
            let actions = self.participant.on_engine_report(report, 0);
            others.extend(self.run(actions));
        }
        others
    }

    fn ask(&mut self, request: &MapRequest) -> MapRefusal {
        let actions = self.participant.on_request(1, request);
        let others = self.run(actions);
        refusal(&others)
    }
}

fn refusal(actions: &[MapAction]) -> MapRefusal {
    match actions {
        [MapAction::Reply { reply, .. }] => match reply {
            MapReply::Prepare(reply) => reply.reason(),
            MapReply::Decide(reply) => reply.reason(),
            MapReply::State(reply) => reply.reason(),
        },
        _ => panic!("one reply is due: {actions:?}"),
    }
}

fn rank() -> Rank {
    Rank::new(FakeRankEngine::new(GROUP, 0))
}

fn prepare(map_id: u64) -> PrepareMapRequest {
    PrepareMapRequest {
        group_incarnation: GROUP,
        ballot: map_id,
        map: Some(ExpertMap {
            map_id,
            replicas: Vec::new(),
        }),
        switch_step: SWITCH_STEP,
        agent_incarnation: AGENT,
    }
}

fn query(ballot: u64) -> MapRequest {
    MapRequest::State(MapStateRequest {
        group_incarnation: GROUP,
        ballot,
        map_id: 1,
        agent_incarnation: AGENT,
    })
}

fn decide(ballot: u64, map_id: u64, commit: bool) -> MapRequest {
    MapRequest::Decide(DecideMapRequest {
        group_incarnation: GROUP,
        ballot,
        map_id,
        commit,
        agent_incarnation: AGENT,
    })
}

#[googletest::test]
fn nothing_is_taken_before_the_engine_was_read_back() {
    let mut participant = MapParticipant::new(Incarnation(AGENT), 0);
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
    let promised = rank.ask(&MapRequest::Prepare(prepare(1)));
    expect_that!(promised, eq(MapRefusal::Unspecified));
    rank.engine.step = SWITCH_STEP;
    expect_that!(rank.engine.begin_step(), eq(false));
    let committed = rank.ask(&decide(1, 1, true));
    expect_that!(committed, eq(MapRefusal::Unspecified));
    expect_that!(rank.engine.begin_step(), eq(true));
    expect_that!(rank.engine.active_map_id, eq(1));
}

#[googletest::test]
fn a_passed_switch_step_is_refused() {
    let mut known = rank();
    known.engine.step = SWITCH_STEP;
    let actions = known.participant.tick(1);
    known.run(actions);
    let refused = known.ask(&MapRequest::Prepare(prepare(1)));
    expect_that!(refused, eq(MapRefusal::StepPassed));
    expect_that!(known.engine.staged, none());

    let mut unknown = rank();
    unknown.engine.step = SWITCH_STEP;
    let refused = unknown.ask(&MapRequest::Prepare(prepare(1)));
    expect_that!(refused, eq(MapRefusal::StepPassed));
    expect_that!(unknown.engine.staged, none());
}

#[googletest::test]
fn lower_ballots_are_refused() {
    let mut rank = rank();
    expect_that!(rank.ask(&query(2)), eq(MapRefusal::Unspecified));
    let refused = rank.ask(&MapRequest::Prepare(prepare(1)));
    expect_that!(refused, eq(MapRefusal::LowerBallot));
    expect_that!(rank.ask(&decide(1, 1, false)), eq(MapRefusal::LowerBallot));
}

#[googletest::test]
fn a_map_id_is_used_once() {
    let mut rank = rank();
    expect_that!(
        rank.ask(&MapRequest::Prepare(prepare(1))),
        eq(MapRefusal::Unspecified)
    );
    // A doubled prepare is answered alike while the map is undecided.
    expect_that!(
        rank.ask(&MapRequest::Prepare(prepare(1))),
        eq(MapRefusal::Unspecified)
    );
    expect_that!(rank.ask(&decide(1, 1, false)), eq(MapRefusal::Unspecified));
    expect_that!(
        rank.ask(&MapRequest::Prepare(prepare(1))),
        eq(MapRefusal::LowerBallot)
    );
    let mut other_id = prepare(2);
    other_id.ballot = 3;
    expect_that!(
        rank.ask(&MapRequest::Prepare(other_id)),
        eq(MapRefusal::Invalid)
    );
}

#[googletest::test]
fn a_second_map_waits_for_the_first() {
    let mut rank = rank();
    expect_that!(
        rank.ask(&MapRequest::Prepare(prepare(1))),
        eq(MapRefusal::Unspecified)
    );
    expect_that!(
        rank.ask(&MapRequest::Prepare(prepare(2))),
        eq(MapRefusal::MapPending)
    );
    expect_that!(rank.ask(&decide(2, 1, true)), eq(MapRefusal::Unspecified));
    expect_that!(
        rank.ask(&MapRequest::Prepare(prepare(3))),
        eq(MapRefusal::MapPending)
    );
    expect_that!(rank.ask(&decide(3, 1, false)), eq(MapRefusal::Contradicts));
}

#[googletest::test]
fn a_restarted_agent_reads_back_and_refuses_messages_to_its_former_run() {
    let mut first = rank();
    expect_that!(
        first.ask(&MapRequest::Prepare(prepare(2))),
        eq(MapRefusal::Unspecified)
    );
    let mut second = Rank::new(first.engine);
    expect_that!(second.ask(&query(1)), eq(MapRefusal::LowerBallot));
    let mut former = prepare(3);
    former.agent_incarnation = AGENT - 1;
    let refused = second.ask(&MapRequest::Prepare(former));
    expect_that!(refused, eq(MapRefusal::OtherIncarnation));
    expect_that!(second.ask(&decide(3, 2, true)), eq(MapRefusal::Unspecified));
}

#[googletest::test]
fn a_message_to_another_formation_of_the_group_is_refused() {
    let mut rank = rank();
    rank.engine = FakeRankEngine::new(GROUP + 1, 0);
    // The agent hasn't heard of the new formation when it orders the engine to stage.
    let refused = rank.ask(&MapRequest::Prepare(prepare(1)));
    expect_that!(refused, eq(MapRefusal::OtherGroup));
    expect_that!(rank.engine.staged, none());
    expect_that!(rank.ask(&query(2)), eq(MapRefusal::OtherGroup));
}

#[googletest::test]
fn a_stage_order_of_a_former_run_that_comes_late_is_dropped() {
    let mut rank = rank();
    let map = prepare(1).map.unwrap_or_default();
    let switch_step = SWITCH_STEP;
    rank.engine.apply(&MapOrder::Stage { map, switch_step });
    let actions = rank.participant.tick(1);
    rank.run(actions);
    expect_that!(rank.engine.staged, none());
}

#[googletest::test]
fn a_map_staged_after_its_switch_step_is_dropped_on_read_back() {
    let mut engine = FakeRankEngine::new(GROUP, 0);
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
    let mut participant = MapParticipant::new(Incarnation(AGENT), 0);
    let mut engine = FakeRankEngine::new(GROUP, 0);
    let report: MapEngineReport = engine.apply(&MapOrder::Read);
    participant.on_engine_report(report, 0);
    participant.on_request(1, &MapRequest::Prepare(prepare(1)));
    let actions = participant.on_request(2, &query(2));
    expect_that!(refusal(&actions), eq(MapRefusal::Busy));
    let lost = participant.on_engine_lost();
    expect_that!(refusal(&lost), eq(MapRefusal::Busy));
    let actions = participant.on_request(3, &query(2));
    expect_that!(refusal(&actions), eq(MapRefusal::NotReady));
}

#[googletest::test]
fn an_undecided_rank_learns_the_decision_from_a_peer() {
    for (committed_map_id, aborted_map_id) in [(1, 0), (0, 1)] {
        let mut rank = rank();
        rank.ask(&MapRequest::Prepare(prepare(1)));
        let actions = rank.participant.on_peer_state(&MapStateReply {
            group_incarnation: GROUP,
            committed_map_id,
            aborted_map_id,
            ..MapStateReply::default()
        });
        rank.run(actions);
        let is_committed = rank.engine.staged.is_some_and(|staged| staged.committed);
        expect_that!(is_committed, eq(committed_map_id == 1));
        expect_that!(rank.engine.staged.is_some(), eq(committed_map_id == 1));
    }
}

#[googletest::test]
fn an_undecided_rank_asks_its_peers_and_then_recovers() {
    let mut rank = rank();
    rank.ask(&MapRequest::Prepare(prepare(1)));
    let asked = rank.participant.tick(200);
    expect_that!(asked, contains(eq(&MapAction::AskPeers)));
    expect_that!(asked, not(contains(eq(&MapAction::Recover))));
    let recovering = rank.participant.tick(500);
    expect_that!(recovering, contains(eq(&MapAction::Recover)));
}
