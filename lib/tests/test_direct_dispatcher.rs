//! Tests of how the dispatcher of an entry assigns, queues, moves and refuses calls.

use std::collections::HashMap;
use std::sync::Arc;

use googletest::prelude::*;
use pomeloramp_lib::DirectDispatcher;
use pomeloramp_lib::DispatchDecision;
use pomeloramp_lib::DispatchQuery;
use pomeloramp_lib::EndpointRecord;
use pomeloramp_lib::EngineModel;
use pomeloramp_lib::ExpertModel;
use pomeloramp_lib::LimitDivision;
use pomeloramp_lib::PeerDemand;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RouteTable;
use pomeloramp_lib::SendResult;
use pomeloramp_lib::ServiceRule;
use pomeloramp_lib::short_hash;
use pomeloramp_testutils::dispatch::RETRY_ALLOWANCE;
use pomeloramp_testutils::dispatch::SERVICE;
use pomeloramp_testutils::dispatch::query;
use pomeloramp_testutils::dispatch::sent_to;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ZONE: &str = "zone-1";
const SLOTS: u32 = 2;

fn endpoint(id: &str) -> Arc<EndpointRecord> {
    Arc::new(EndpointRecord {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: format!("{id}:80"),
        availability_zone: ZONE.to_owned(),
        slots: SLOTS,
        is_leaving: false,
        born_ms: 1,
    })
}

fn dispatcher(ids: &[&str]) -> DirectDispatcher {
    let rng = SmallRng::seed_from_u64(1);
    let mut dispatcher = DirectDispatcher::new(ZONE, RETRY_ALLOWANCE, rng);
    let endpoints: Vec<_> = ids.iter().map(|id| endpoint(id)).collect();
    dispatcher.set_endpoints(&endpoints, 0);
    dispatcher
}

/// Returns a dispatcher whose endpoints are the ranks of one group.
fn group_dispatcher(ids: &[&str]) -> DirectDispatcher {
    group_dispatcher_with_answers(ids, 10.0)
}

/// Returns the same where answers have `mean_answer_tokens` and a pass of one token takes 2 ms.
fn group_dispatcher_with_answers(ids: &[&str], mean_answer_tokens: f64) -> DirectDispatcher {
    let mut dispatcher = dispatcher(ids);
    let experts = ExpertModel {
        set_count: 1,
        expert_count: 4,
        slots_per_rank: 4,
        max_new_per_rank: 1,
        expert_mb: 1.0,
        link_mbit_per_s: 1_000.0,
        work_share: 0.5,
    };
    let engine = EngineModel {
        slots: SLOTS,
        steps_per_pass: 1,
        step_ms: 1.0,
        request_ms: 1.0,
        prefill_tokens_per_s: 1_000.0,
        mean_answer_tokens,
        experts: Some(experts),
    };
    let rule = ServiceRule {
        name: SERVICE.to_owned(),
        max_connections: 10,
        engine: Some(engine),
    };
    let table = RouteTable::builder().revision(1).rules(Vec::new());
    dispatcher.set_table(&table.services(vec![rule]).build());
    dispatcher
}

#[googletest::test]
fn calls_are_spread_evenly_and_are_queued_when_all_slots_are_taken() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let decisions: Vec<_> = (0..4)
        .map(|call| dispatcher.request_endpoint(query(call, 0), 0))
        .collect();
    let count = |id: &str| {
        let sent = decisions
            .iter()
            .filter(|decision| sent_to(decision.as_ref()) == Some(id));
        sent.count()
    };
    expect_that!(count("a"), eq(2));
    expect_that!(count("b"), eq(2));
    expect_that!(dispatcher.request_endpoint(query(4, 0), 0), none());

    let assigned = dispatcher.end(0, SendResult::Answered, 100);
    expect_that!(assigned.len(), eq(1));
    expect_that!(assigned[0].0, eq(4));
}

#[googletest::test]
fn calls_of_a_load_spike_that_cannot_be_served_in_time_are_refused_at_once() {
    let mut dispatcher = dispatcher(&["a"]);
    let mut refused = 0;
    for call in 0..40 {
        if let Some(DispatchDecision::Refuse { retry_after_ms, .. }) =
            dispatcher.request_endpoint(query(call, 0), 0)
        {
            expect_that!(retry_after_ms, ge(150));
            refused += 1;
        }
    }
    expect_that!(refused, ge(25));
    let expired = dispatcher.advance(1_600);
    let is_refused = |decision: &(u64, DispatchDecision)| sent_to(Some(&decision.1)).is_none();
    expect_that!(
        expired
            .iter()
            .filter(|decision| is_refused(decision))
            .count(),
        eq(expired.len())
    );
}

#[googletest::test]
fn a_caller_that_returns_after_a_refusal_goes_before_a_new_one() {
    let mut dispatcher = dispatcher(&["a"]);
    for call in 0..2 {
        assert_that!(
            dispatcher.request_endpoint(query(call, 0), 0),
            some(anything())
        );
    }
    assert_that!(dispatcher.request_endpoint(query(2, 10), 10), none());
    let returning = DispatchQuery {
        is_returning: true,
        ..query(3, 20)
    };
    assert_that!(dispatcher.request_endpoint(returning, 20), none());
    let assigned = dispatcher.end(0, SendResult::Answered, 50);
    expect_that!(assigned[0].0, eq(3));
}

#[googletest::test]
fn while_a_group_is_down_one_call_at_a_time_is_sent_as_a_probe() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    assert_that!(
        dispatcher.request_endpoint(query(0, 0), 0),
        some(anything())
    );
    dispatcher.end(0, SendResult::GroupDown, 10);
    for call in 1..4 {
        expect_that!(dispatcher.request_endpoint(query(call, 20), 20), none());
    }
    expect_that!(dispatcher.advance(100), is_empty());

    let sent = dispatcher.advance(170);
    expect_that!(sent.len(), eq(1));
    expect_that!(dispatcher.advance(300), is_empty());
    let assigned = dispatcher.record_answer_start(sent[0].0, 320);
    expect_that!(assigned.len(), eq(2));
}

#[googletest::test]
fn an_endpoint_that_is_leaving_or_was_tried_gets_no_call() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let leaving = Arc::new(EndpointRecord {
        is_leaving: true,
        ..(*endpoint("a")).clone()
    });
    dispatcher.set_endpoints(&[leaving, endpoint("b")], 0);
    expect_that!(
        sent_to(dispatcher.request_endpoint(query(0, 0), 0).as_ref()),
        some(eq("b"))
    );
    let retry = DispatchQuery {
        exclude: vec!["b".to_owned()],
        ..query(1, 0)
    };
    expect_that!(dispatcher.request_endpoint(retry, 0), none());
}

#[googletest::test]
fn a_service_without_endpoints_is_refused_at_once() {
    let mut dispatcher = dispatcher(&[]);
    let decision = dispatcher.request_endpoint(query(0, 0), 0);
    let code = RefusalCode::NoEndpoint;
    expect_that!(
        decision,
        some(matches_pattern!(DispatchDecision::Refuse {
            code: eq(&code),
            ..
        }))
    );
}

#[googletest::test]
fn failing_endpoints_get_fewer_calls() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let mut sent_to_a = 0;
    for call in 0..40 {
        let now_ms = call * 50;
        let decision = dispatcher.request_endpoint(query(call, now_ms), now_ms);
        let is_a = sent_to(decision.as_ref()) == Some("a");
        sent_to_a += u32::from(is_a);
        let result = if is_a {
            SendResult::Failed
        } else {
            SendResult::Answered
        };
        dispatcher.end(call, result, now_ms + 20);
    }
    expect_that!(sent_to_a, le(10));
}

#[googletest::test]
fn while_a_rank_group_is_stalled_new_calls_are_queued() {
    let mut dispatcher = group_dispatcher(&["a", "b"]);
    assert_that!(
        dispatcher.request_endpoint(query(0, 0), 0),
        some(anything())
    );
    dispatcher.record_answer_start(0, 20);
    expect_that!(dispatcher.advance(500), is_empty());

    // One call is sent as a probe; the others are queued although slots are free.
    expect_that!(
        dispatcher.request_endpoint(query(1, 510), 510),
        some(anything())
    );
    expect_that!(dispatcher.request_endpoint(query(2, 520), 520), none());
    expect_that!(dispatcher.advance(900), is_empty());

    dispatcher.record_progress(SERVICE, 950);
    let sent = dispatcher.advance(960);
    expect_that!(sent.len(), eq(1));
    expect_that!(sent[0].0, eq(2));
}

#[googletest::test]
fn a_call_refused_during_a_stall_gets_a_retry_delay_beyond_the_stall() {
    let mut dispatcher = group_dispatcher(&["a"]);
    assert_that!(
        dispatcher.request_endpoint(query(0, 0), 0),
        some(anything())
    );
    dispatcher.advance(500);
    assert_that!(
        dispatcher.request_endpoint(query(1, 500), 500),
        some(anything())
    );
    assert_that!(dispatcher.request_endpoint(query(2, 500), 500), none());
    let refused = dispatcher.advance(1_700);
    assert_that!(refused.len(), eq(1));
    expect_that!(
        refused[0].1,
        matches_pattern!(DispatchDecision::Refuse {
            retry_after_ms: ge(&2_000),
            ..
        })
    );
}

#[googletest::test]
fn without_hold_time_samples_the_retry_delay_follows_the_engine_model() {
    let mut dispatcher = group_dispatcher_with_answers(&["a"], 2_000.0);
    for call in 0..2 {
        assert_that!(
            dispatcher.request_endpoint(query(call, 0), 0),
            some(anything())
        );
    }
    // Answers take 4 s, so the third call would wait 2 s for one of two slots.
    let decision = dispatcher.request_endpoint(query(2, 0), 0);
    expect_that!(
        decision,
        some(matches_pattern!(DispatchDecision::Refuse {
            retry_after_ms: ge(&2_000),
            ..
        }))
    );
}

#[googletest::test]
fn a_call_stays_at_its_rank_while_the_whole_group_is_stalled() {
    let mut dispatcher = group_dispatcher(&["a", "b"]);
    for call in 0..2 {
        assert_that!(
            dispatcher.request_endpoint(query(call, 0), 0),
            some(anything())
        );
    }
    let sent_to = ["a".to_owned()];
    expect_that!(dispatcher.try_move(SERVICE, &sent_to, 900), eq(false));
    dispatcher.record_progress(SERVICE, 910);
    expect_that!(dispatcher.try_move(SERVICE, &sent_to, 920), eq(true));
}

#[googletest::test]
fn a_call_stays_at_its_endpoint_when_no_other_accepts_it() {
    let mut dispatcher = dispatcher(&["a"]);
    assert_that!(
        dispatcher.request_endpoint(query(0, 0), 0),
        some(anything())
    );
    let sent_to = ["a".to_owned()];
    expect_that!(dispatcher.try_move(SERVICE, &sent_to, 100), eq(false));
}

fn slowdowns(slow: &[&str]) -> HashMap<u32, u32> {
    let addresses = slow.iter().map(|id| format!("{id}:80"));
    addresses
        .map(|address| (short_hash(&address), 500))
        .collect()
}

#[googletest::test]
fn a_slow_rank_gets_no_calls_while_others_are_not_slow() {
    let mut dispatcher = group_dispatcher(&["a", "b"]);
    dispatcher.set_slowdowns(&slowdowns(&["a"]));
    for call in 0..2 {
        let decision = dispatcher.request_endpoint(query(call, 0), 0);
        expect_that!(sent_to(decision.as_ref()), some(eq("b")));
    }
    expect_that!(dispatcher.request_endpoint(query(2, 0), 0), none());

    dispatcher.set_slowdowns(&slowdowns(&["a", "b"]));
    let sent = dispatcher.advance(10);
    expect_that!(sent.len(), eq(1));
}

#[googletest::test]
fn a_call_moves_away_from_a_slow_rank_even_while_the_group_is_stalled() {
    let mut dispatcher = group_dispatcher(&["a", "b"]);
    assert_that!(
        dispatcher.request_endpoint(query(0, 0), 0),
        some(anything())
    );
    dispatcher.set_slowdowns(&slowdowns(&["a"]));
    expect_that!(
        dispatcher.try_move(SERVICE, &["a".to_owned()], 900),
        eq(true)
    );
    expect_that!(
        dispatcher.try_move(SERVICE, &["b".to_owned()], 900),
        eq(false)
    );
}

/// Guards against a call that moves, and whose slot goes to a queued call before it has another.
#[googletest::test]
fn a_call_that_moved_lost_its_slot_to_a_queued_one() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let demand = PeerDemand {
        calls: 11,
        ..PeerDemand::default()
    };
    dispatcher.set_peer_demand(1, &HashMap::from([(short_hash(SERVICE), demand)]));
    let first = dispatcher.request_endpoint(query(0, 0), 0);
    let first = sent_to(first.as_ref()).expect("a free slot").to_owned();
    assert_that!(dispatcher.request_endpoint(query(1, 0), 0), none());

    let mut moved = query(2, 100);
    moved.exclude = vec![first.clone()];
    let endpoint = dispatcher.move_call(&moved, 100).expect("a slot elsewhere");
    expect_that!(endpoint.id, not(eq(&first)));
    expect_that!(dispatcher.end(0, SendResult::Unreachable, 100), is_empty());
    expect_that!(dispatcher.end(2, SendResult::Answered, 110).len(), eq(1));
}

/// Guards against more than one call at a time at a rank group that is down.
#[googletest::test]
fn calls_moved_to_other_ranks_while_their_group_was_down() {
    let mut dispatcher = group_dispatcher(&["a", "b"]);
    for call in 0..2 {
        let decision = dispatcher.request_endpoint(query(call, 0), 0);
        assert_that!(sent_to(decision.as_ref()), some(anything()));
    }
    dispatcher.end(0, SendResult::GroupDown, 100);
    let mut moved = query(2, 110);
    moved.exclude = vec!["a".to_owned()];
    expect_that!(dispatcher.move_call(&moved, 110), none());
    dispatcher.set_slowdowns(&slowdowns(&["a"]));
    let endpoint = dispatcher.move_call(&moved, 110);
    expect_that!(endpoint.map(|endpoint| endpoint.id.clone()), some(eq("b")));
}

#[googletest::test]
fn an_endpoint_that_rejects_all_calls_was_tried_for_every_other_call() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let mut rejected = 0;
    for number in 0..200 {
        let now_ms = number * 40;
        let decision = dispatcher.request_endpoint(query(number, now_ms), now_ms);
        let is_rejected = sent_to(decision.as_ref()) == Some("a");
        let result = if is_rejected {
            rejected += 1;
            SendResult::Full
        } else {
            SendResult::Answered
        };
        dispatcher.end(number, result, now_ms + 30);
    }
    // Once a second, after the first ones.
    expect_that!(rejected, all!(ge(8), le(13)));
}

#[googletest::test]
fn an_endpoint_that_was_full_for_a_moment_got_no_calls_for_long() {
    let mut dispatcher = dispatcher(&["a"]);
    for number in 0..2 {
        dispatcher.request_endpoint(query(number, 0), 0);
    }
    for number in 0..2 {
        dispatcher.end(number, SendResult::Full, 5);
    }
    dispatcher.set_endpoints(&[endpoint("a"), endpoint("b")], 5);
    let decision = dispatcher.request_endpoint(query(10, 10), 10);
    expect_that!(sent_to(decision.as_ref()), some(eq("b")));
    dispatcher.request_endpoint(query(11, 10), 10);
    let decision = dispatcher.request_endpoint(query(12, 66), 66);
    expect_that!(sent_to(decision.as_ref()), some(eq("a")));
}

#[googletest::test]
fn calls_that_found_nobody_listening_earned_retries_with_each_send() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    dispatcher.set_limit_division(LimitDivision::default(), 0);
    while dispatcher.try_retry(SERVICE, 0) {}
    let before = dispatcher.retries_left(SERVICE);
    let mut first = query(1, 0);
    dispatcher.request_endpoint(first.clone(), 0);
    dispatcher.end(1, SendResult::Unreachable, 0);
    let earned = dispatcher.retries_left(SERVICE);
    expect_that!(earned, gt(before));
    first.call = 2;
    first.is_first = false;
    dispatcher.request_endpoint(first, 0);
    expect_that!(dispatcher.retries_left(SERVICE), eq(earned));
}
