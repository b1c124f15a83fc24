//! Tests of how entries treat endpoints that have asked for a time without calls.

use googletest::prelude::*;
use pomeloramp_lib::DirectDispatcher;
use pomeloramp_lib::DispatchDecision;
use pomeloramp_lib::PauseChange;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RetryAfter;
use pomeloramp_lib::SendResult;
use pomeloramp_testutils::dispatch::SERVICE;
use pomeloramp_testutils::dispatch::dispatcher;
use pomeloramp_testutils::dispatch::endpoint;
use pomeloramp_testutils::dispatch::query;
use pomeloramp_testutils::dispatch::sent;
use pomeloramp_testutils::dispatch::sent_to;
use pomeloramp_testutils::limited_fleet::LimitedFleet;
use pomeloramp_testutils::rest_bound;

const SLOTS: u32 = 4;
/// Longest time after a pause by which an entry without others returns.
const LONGEST_RETURN_MS: u64 = 100;

/// Sends calls until each of `ids` has turned one away and asked for time; returns what was logged.
fn ask(
    dispatcher: &mut DirectDispatcher,
    ids: &[&str],
    retry_after: &RetryAfter,
) -> Vec<PauseChange> {
    let calls: Vec<_> = (0..u64::from(SLOTS) * 4)
        .map(|number| (number, dispatcher.request_endpoint(query(number, 0), 0)))
        .collect();
    let mut changes = Vec::new();
    for (number, decision) in calls {
        let result = if sent_to(decision.as_ref()).is_some_and(|id| ids.contains(&id)) {
            changes.extend(dispatcher.observe_retry_after(number, retry_after, "7f", 0));
            SendResult::Full
        } else {
            SendResult::Answered
        };
        dispatcher.end(number, result, 0);
    }
    changes
}

#[googletest::test]
fn a_paused_endpoint_got_calls_because_all_others_were_avoided_or_full() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    ask(&mut dispatcher, &["a"], &RetryAfter::Ms(5_000));
    for number in 100..100 + u64::from(SLOTS) {
        let decision = dispatcher.request_endpoint(query(number, 10), 10);
        expect_that!(sent_to(decision.as_ref()), some(eq("b")));
    }
    let waiting = dispatcher.request_endpoint(query(200, 10), 10);
    expect_that!(sent_to(waiting.as_ref()), none());
    dispatcher.end(100, SendResult::Unreachable, 20);
    let decisions = dispatcher.advance(30);
    let ids = decisions
        .iter()
        .filter_map(|(_, decision)| sent_to(Some(decision)));
    expect_that!(ids.collect::<Vec<_>>(), each(eq(&"b")));
}

#[googletest::test]
fn a_call_moved_or_was_repeated_to_a_paused_endpoint() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    ask(&mut dispatcher, &["a"], &RetryAfter::Ms(5_000));
    let mut moved = query(300, 10);
    moved.exclude = vec!["b".to_owned()];
    expect_that!(dispatcher.move_call(&moved, 10), none());
    let repeated = dispatcher.request_endpoint(moved, 10);
    expect_that!(
        repeated,
        some(matches_pattern!(DispatchDecision::Refuse {
            code: &RefusalCode::EndpointsPaused,
            ..
        }))
    );
}

#[googletest::test]
fn a_later_answer_shortened_a_pause() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    let decisions: Vec<_> = (0..u64::from(SLOTS) * 2)
        .map(|number| (number, dispatcher.request_endpoint(query(number, 0), 0)))
        .collect();
    let at_a = decisions
        .iter()
        .filter(|(_, decision)| sent_to(decision.as_ref()) == Some("a"));
    let at_a: Vec<u64> = at_a.map(|(number, _)| *number).collect();
    dispatcher.observe_retry_after(at_a[0], &RetryAfter::Ms(5_000), "7f", 10);
    let change = dispatcher.observe_retry_after(at_a[1], &RetryAfter::Ms(1_000), "80", 20);
    expect_that!(change, is_empty());
    for (number, _) in decisions {
        dispatcher.end(number, SendResult::Answered, 30);
    }
    expect_that!(sent(&mut dispatcher, 20, 4_900), each(eq("b")));
}

#[googletest::test]
fn a_pause_was_forgotten_when_its_endpoint_was_listed_again() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    ask(&mut dispatcher, &["a"], &RetryAfter::Ms(5_000));
    dispatcher.set_endpoints(&[endpoint("b", 1, SLOTS)], 1_000);
    dispatcher.set_endpoints(&[endpoint("a", 1, SLOTS), endpoint("b", 1, SLOTS)], 2_000);
    expect_that!(sent(&mut dispatcher, 20, 3_000), each(eq("b")));
}

#[googletest::test]
fn a_pause_was_not_noticed_because_its_endpoint_was_not_listed_at_that_moment() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    let decision = dispatcher.request_endpoint(query(1, 0), 0);
    expect_that!(sent_to(decision.as_ref()), some(eq("a")));
    dispatcher.set_endpoints(&[endpoint("b", 1, SLOTS)], 100);
    dispatcher.observe_retry_after(1, &RetryAfter::Ms(5_000), "7f", 200);
    dispatcher.end(1, SendResult::Full, 200);
    dispatcher.set_endpoints(&[endpoint("a", 1, SLOTS), endpoint("b", 1, SLOTS)], 300);
    expect_that!(sent(&mut dispatcher, 20, 1_000), each(eq("b")));
}

#[googletest::test]
fn a_restarted_endpoint_got_no_calls_because_its_earlier_run_had_paused() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    ask(&mut dispatcher, &["a", "b"], &RetryAfter::Ms(60_000));
    dispatcher.set_endpoints(&[endpoint("a", 2, SLOTS), endpoint("b", 1, SLOTS)], 1_000);
    expect_that!(sent(&mut dispatcher, 20, 1_000).len(), eq(20));
}

#[googletest::test]
fn calls_that_a_pause_makes_late_were_not_refused_at_once() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    ask(&mut dispatcher, &["a"], &RetryAfter::Ms(1_000));
    for number in 100..100 + u64::from(SLOTS) {
        expect_that!(
            dispatcher.request_endpoint(query(number, 10), 10),
            some(anything())
        );
    }
    expect_that!(dispatcher.request_endpoint(query(104, 10), 10), none());
    dispatcher.observe_retry_after(100, &RetryAfter::Ms(20_000), "80", 20);
    dispatcher.observe_retry_after(101, &RetryAfter::Ms(30_000), "81", 20);
    // The first endpoint takes calls again after a second; the queued call can still be served.
    expect_that!(dispatcher.advance(40), is_empty());
    let late = query(105, 900);
    let mut late = late;
    late.useful_until_ms = 950;
    let refused = dispatcher.request_endpoint(late, 900);
    let Some(DispatchDecision::Refuse {
        code,
        retry_after_ms,
        obstacles,
    }) = refused
    else {
        panic!("the call was not refused: {refused:?}");
    };
    expect_that!(code, eq(RefusalCode::EndpointsPaused));
    expect_that!(
        retry_after_ms,
        all!(ge(150), le(100 + LONGEST_RETURN_MS + 50))
    );
    expect_that!(obstacles.to_string(), eq("paused:2"));
}

#[googletest::test]
fn a_refused_call_was_not_told_when_the_first_endpoint_takes_calls_again() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    ask(&mut dispatcher, &["a"], &RetryAfter::Ms(9_000));
    ask(&mut dispatcher, &["b"], &RetryAfter::Ms(20_000));
    let refused = dispatcher.request_endpoint(query(200, 1_000), 1_000);
    let Some(DispatchDecision::Refuse { retry_after_ms, .. }) = refused else {
        panic!("the call was not refused: {refused:?}");
    };
    expect_that!(
        retry_after_ms,
        all!(ge(8_000), le(8_000 + LONGEST_RETURN_MS))
    );
    expect_that!(dispatcher.room_after_ms(SERVICE, 1_000), eq(retry_after_ms));
}

#[googletest::test]
fn all_that_waited_returned_to_an_endpoint_at_once() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    ask(&mut dispatcher, &["a"], &RetryAfter::Ms(1_000));
    for number in 100..103 {
        expect_that!(dispatcher.request_endpoint(query(number, 500), 500), none());
    }
    expect_that!(dispatcher.advance(990), is_empty());
    let now_ms = 1_000 + LONGEST_RETURN_MS;
    let first = dispatcher.advance(now_ms);
    expect_that!(first.len(), eq(1));
    expect_that!(dispatcher.advance(now_ms + 20), is_empty());
    let next = dispatcher.end(first[0].0, SendResult::Answered, now_ms + 40);
    expect_that!(next.len(), eq(2));
}

#[googletest::test]
fn an_endpoint_that_named_a_huge_time_was_lost_for_good() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    let changes = ask(&mut dispatcher, &["a"], &RetryAfter::Ms(u64::MAX));
    expect_that!(
        changes.first(),
        some(matches_pattern!(PauseChange::Asked {
            length_ms: &120_000,
            ..
        }))
    );
    expect_that!(sent(&mut dispatcher, 1, 119_999), is_empty());
    expect_that!(
        sent(&mut dispatcher, 1, 120_000 + LONGEST_RETURN_MS).len(),
        eq(1)
    );
}

#[googletest::test]
fn an_invalid_time_kept_calls_from_an_endpoint() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    let invalid = |text: &str, longest_ms| RetryAfter::Invalid {
        text: text.to_owned(),
        longest_ms,
    };
    let changes = ask(&mut dispatcher, &["a"], &invalid("soon", None));
    expect_that!(
        changes,
        elements_are![matches_pattern!(PauseChange::Invalid {
            text: eq("soon"),
            ..
        })]
    );
    expect_that!(sent(&mut dispatcher, 3, 1_000).len(), eq(3));
    ask(&mut dispatcher, &["a"], &invalid("2, x", Some(2_000)));
    expect_that!(dispatcher.pause_statuses(100).len(), eq(1));
}

#[googletest::test]
fn entries_of_a_fleet_sent_calls_to_endpoints_that_asked_for_time_again_and_again() {
    const ENTRIES: usize = 38;
    const ENDPOINTS: usize = 72;
    const ASKING: usize = ENDPOINTS / 3;
    for seed in 0..2 {
        let mut fleet = LimitedFleet::start(&[8.0; ENTRIES], ENDPOINTS, seed);
        fleet.play(5_000);
        for _ in 0..3 {
            for endpoint in 0..ASKING {
                fleet.ask_for_time(endpoint, Some(3_000));
            }
            fleet.play(4_000);
            for endpoint in 0..ASKING {
                fleet.ask_for_time(endpoint, None);
            }
            let since_ms = fleet.now_ms();
            fleet.play(4_000);
            // 304 calls a second at 72 endpoints are 4.2 a second each.
            expect_that!(fleet.most_calls_within(100, since_ms), le(8), "seed {seed}");
        }
        expect_that!(
            fleet.most_unwanted_calls(),
            le(rest_bound::MAX_CALLS),
            "seed {seed}"
        );
    }
}
