//! Tests of how entries treat endpoints that say in their answers that they leave.

use googletest::prelude::*;
use pomeloramp_lib::DirectDispatcher;
use pomeloramp_lib::DispatchDecision;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RetryAfter;
use pomeloramp_lib::SendResult;
use pomeloramp_testutils::dispatch::dispatcher;
use pomeloramp_testutils::dispatch::endpoint;
use pomeloramp_testutils::dispatch::query;
use pomeloramp_testutils::dispatch::sent;
use pomeloramp_testutils::dispatch::sent_to;

const SLOTS: u32 = 2;

/// Lets the endpoint `id`, to which a call goes, say in the answer that it leaves.
fn say_leaving(dispatcher: &mut DirectDispatcher, id: &str, now_ms: u64) {
    let numbers = 1..100;
    let calls: Vec<_> = numbers
        .map(|number| {
            let decision = dispatcher.request_endpoint(query(number, now_ms), now_ms);
            (number, sent_to(decision.as_ref()).map(str::to_owned))
        })
        .collect();
    for (number, endpoint) in calls {
        if endpoint.as_deref() == Some(id) {
            dispatcher.observe_leaving(number, "7f", now_ms);
        }
        dispatcher.end(number, SendResult::Answered, now_ms);
    }
}

#[googletest::test]
fn a_call_moved_or_was_repeated_to_an_endpoint_that_said_it_leaves() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    say_leaving(&mut dispatcher, "a", 0);
    let mut moved = query(300, 10);
    moved.exclude = vec!["b".to_owned()];
    expect_that!(dispatcher.move_call(&moved, 10), none());
    expect_that!(
        sent(&mut dispatcher, 20, 20),
        all!(len(eq(20)), each(eq("b")))
    );
}

#[googletest::test]
fn an_endpoint_that_said_it_leaves_got_calls_when_it_was_listed_again() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    say_leaving(&mut dispatcher, "a", 0);
    dispatcher.set_endpoints(&[endpoint("b", 1, SLOTS)], 1_000);
    dispatcher.set_endpoints(&[endpoint("b", 1, SLOTS)], 30_000);
    dispatcher.set_endpoints(&[endpoint("a", 1, SLOTS), endpoint("b", 1, SLOTS)], 60_000);
    expect_that!(sent(&mut dispatcher, 20, 60_000), each(eq("b")));
}

#[googletest::test]
fn an_answer_from_an_endpoint_that_was_not_listed_at_that_moment_did_not_count() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    let decision = dispatcher.request_endpoint(query(1, 0), 0);
    expect_that!(sent_to(decision.as_ref()), some(eq("a")));
    dispatcher.set_endpoints(&[endpoint("b", 1, SLOTS)], 100);
    dispatcher.observe_leaving(1, "7f", 200);
    dispatcher.end(1, SendResult::Answered, 200);
    dispatcher.set_endpoints(&[endpoint("a", 1, SLOTS), endpoint("b", 1, SLOTS)], 300);
    expect_that!(sent(&mut dispatcher, 20, 1_000), each(eq("b")));
}

#[googletest::test]
fn a_further_run_got_no_calls_because_the_one_before_had_left() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    let decision = dispatcher.request_endpoint(query(500, 0), 0);
    expect_that!(sent_to(decision.as_ref()), some(eq("a")));
    say_leaving(&mut dispatcher, "a", 0);
    dispatcher.set_endpoints(&[endpoint("a", 2, SLOTS)], 1_000);
    // An answer of the earlier run that ends late says nothing of the present one.
    dispatcher.observe_leaving(500, "80", 1_100);
    expect_that!(sent(&mut dispatcher, 20, 1_200).len(), eq(20));
}

#[googletest::test]
fn queued_calls_waited_for_endpoints_that_all_leave() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    for number in 0..u64::from(SLOTS) {
        let decision = dispatcher.request_endpoint(query(number, 0), 0);
        expect_that!(sent_to(decision.as_ref()), some(eq("a")));
    }
    expect_that!(dispatcher.request_endpoint(query(10, 0), 0), none());
    dispatcher.observe_leaving(0, "7f", 10);
    let decisions = dispatcher.advance(10);
    let refusal = matches_pattern!(DispatchDecision::Refuse {
        code: &RefusalCode::NoEndpoint,
        ..
    });
    expect_that!(decisions, elements_are![(eq(&10), refusal)]);
}

#[googletest::test]
fn an_endpoint_that_leaves_and_asks_for_time_is_leaving_when_the_time_is_over() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    let decision = dispatcher.request_endpoint(query(1, 0), 0);
    let id = sent_to(decision.as_ref()).map(str::to_owned);
    let other = if id.as_deref() == Some("a") { "b" } else { "a" };
    dispatcher.observe_retry_after(1, &RetryAfter::Ms(1_000), "7f", 10);
    dispatcher.observe_leaving(1, "7f", 10);
    dispatcher.end(1, SendResult::Full, 10);
    expect_that!(dispatcher.leaving_count(), eq(1));
    expect_that!(sent(&mut dispatcher, 20, 10_000), each(eq(other)));
}
