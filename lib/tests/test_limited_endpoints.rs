//! Tests of how the dispatcher of one entry treats endpoints that name limits.

use googletest::prelude::*;
use pomeloramp_lib::DemandInterval;
use pomeloramp_lib::DirectDispatcher;
use pomeloramp_lib::DispatchDecision;
use pomeloramp_lib::LimitChange;
use pomeloramp_lib::NamedLimit;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::SendResult;
use pomeloramp_lib::protos::control::EndpointLimitReport;
use pomeloramp_testutils::dispatch::dispatcher;
use pomeloramp_testutils::dispatch::endpoint;
use pomeloramp_testutils::dispatch::query;
use pomeloramp_testutils::dispatch::sent_to;

/// Slots of each endpoint.
const SLOTS: u32 = 4;

/// Sends one call, whose answer names limits; returns the endpoint.
fn call(
    dispatcher: &mut DirectDispatcher,
    number: u64,
    now_ms: u64,
    limit: impl Fn(&str) -> NamedLimit,
) -> Option<String> {
    let decision = dispatcher.request_endpoint(query(number, now_ms), now_ms);
    let id = sent_to(decision.as_ref())?.to_owned();
    dispatcher.observe_limit(number, &limit(&id), "7f", now_ms);
    dispatcher.end(number, SendResult::Answered, now_ms);
    Some(id)
}

/// Lets each endpoint answer one call with this limit.
fn name_limits(dispatcher: &mut DirectDispatcher, ids: &[&str], limit: f64) {
    let decisions: Vec<_> = (0..20)
        .map(|number| (number, dispatcher.request_endpoint(query(number, 0), 0)))
        .collect();
    for (number, decision) in decisions {
        let is_limited = sent_to(decision.as_ref()).is_some_and(|id| ids.contains(&id));
        if is_limited {
            dispatcher.observe_limit(number, &NamedLimit::CallsPerS(limit), "7f", 0);
        }
        dispatcher.end(number, SendResult::Answered, 0);
    }
}

#[googletest::test]
fn calls_waited_for_a_limited_endpoint_although_others_had_room() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    name_limits(&mut dispatcher, &["a"], 1.0);
    for number in 100..120 {
        let sent = call(&mut dispatcher, number, 10, |_| NamedLimit::None);
        expect_that!(sent.as_deref(), some(eq("b")));
    }
}

#[googletest::test]
fn a_limited_endpoint_got_no_call_although_its_limit_allowed_it() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    name_limits(&mut dispatcher, &["a"], 4.0);
    let limit = |id: &str| match id {
        "a" => NamedLimit::CallsPerS(4.0),
        _ => NamedLimit::None,
    };
    let sent = (0..1_000).map(|step| call(&mut dispatcher, 100 + step, step * 10, limit));
    let limited = sent.flatten().filter(|id| id == "a").count();
    expect_that!(limited, all!(ge(25), le(41)));
}

#[googletest::test]
fn calls_that_limits_make_late_were_not_refused_at_once() {
    let mut dispatcher = dispatcher(&["a", "b"], SLOTS);
    name_limits(&mut dispatcher, &["a", "b"], 1.0);
    let mut refused = Vec::new();
    for number in 100..120 {
        if let Some(DispatchDecision::Refuse {
            code,
            retry_after_ms,
            ..
        }) = dispatcher.request_endpoint(query(number, 10), 10)
        {
            expect_that!(code, eq(RefusalCode::EndpointsLimited));
            refused.push(retry_after_ms);
        }
    }
    // Two calls a second: the first waits for 1 s; none is served after 1.2 s but a second one.
    expect_that!(refused.len(), ge(18));
    expect_that!(refused.iter().min(), some(ge(&1_200)));
}

#[googletest::test]
fn a_less_urgent_call_got_the_permit_of_a_more_urgent_one() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    name_limits(&mut dispatcher, &["a"], 2.0);
    let mut urgent = query(101, 10);
    urgent.urgency = 9;
    expect_that!(dispatcher.request_endpoint(query(100, 10), 10), none());
    expect_that!(dispatcher.request_endpoint(urgent, 10), none());
    let decisions = dispatcher.advance(550);
    let sent: Vec<u64> = decisions
        .iter()
        .filter(|(_, decision)| sent_to(Some(decision)).is_some())
        .map(|(call, _)| *call)
        .collect();
    expect_that!(sent, elements_are![eq(&101)]);
}

#[googletest::test]
fn queued_calls_waited_in_vain_when_limits_became_known() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    let running: Vec<_> = (0..4)
        .map(|number| dispatcher.request_endpoint(query(number, 0), 0))
        .collect();
    expect_that!(running.iter().flatten().count(), eq(4));
    for number in 4..8 {
        expect_that!(dispatcher.request_endpoint(query(number, 0), 0), none());
    }
    dispatcher.observe_limit(0, &NamedLimit::CallsPerS(0.5), "7f", 10);
    let decisions = dispatcher.advance(20);
    let refused = decisions.iter().filter(|(_, decision)| {
        matches!(decision, DispatchDecision::Refuse { code, .. } if *code == RefusalCode::EndpointsLimited)
    });
    expect_that!(refused.count(), eq(4));
}

#[googletest::test]
fn a_call_that_may_not_go_to_an_endpoint_held_up_others() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    name_limits(&mut dispatcher, &["a"], 4.0);
    let mut resumed = query(100, 10);
    resumed.exclude = vec!["a".to_owned()];
    resumed.is_returning = true;
    expect_that!(dispatcher.request_endpoint(resumed, 10), none());
    expect_that!(dispatcher.request_endpoint(query(101, 10), 10), none());
    let decisions = dispatcher.advance(300);
    expect_that!(decisions.len(), eq(1));
    expect_that!(decisions[0].0, eq(101));
}

#[googletest::test]
fn an_answer_to_an_earlier_call_lifted_a_limit() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    for number in 0..3 {
        dispatcher.request_endpoint(query(number, 0), 0);
    }
    let change = dispatcher.observe_limit(0, &NamedLimit::CallsPerS(50.0), "7f", 100);
    expect_that!(change, some(matches_pattern!(LimitChange::Named { .. })));
    let change = dispatcher.observe_limit(1, &NamedLimit::None, "80", 110);
    expect_that!(change, none());
    let change = dispatcher.observe_limit(2, &NamedLimit::Invalid("x".to_owned()), "81", 120);
    expect_that!(change, some(matches_pattern!(LimitChange::Invalid { .. })));
    expect_that!(
        dispatcher
            .limit_of(&endpoint("a", 1, SLOTS), 120)
            .map(|limit| limit.calls_per_s),
        some(eq(50.0))
    );
    expect_that!(
        dispatcher.request_endpoint(query(3, 130), 130),
        some(anything())
    );
    let change = dispatcher.observe_limit(3, &NamedLimit::None, "82", 150);
    expect_that!(change, some(matches_pattern!(LimitChange::Lifted { .. })));
    expect_that!(dispatcher.limit_of(&endpoint("a", 1, SLOTS), 150), none());
}

#[googletest::test]
fn the_limit_of_an_earlier_run_held_for_a_restarted_endpoint() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    dispatcher.request_endpoint(query(0, 0), 0);
    dispatcher.request_endpoint(query(1, 0), 0);
    dispatcher.observe_limit(0, &NamedLimit::CallsPerS(1.0), "7f", 10);
    let reports = dispatcher.limit_reports(8, 20);
    expect_that!(reports.len(), eq(1));
    dispatcher.set_endpoints(&[endpoint("a", 2, SLOTS)], 30);
    expect_that!(dispatcher.limit_of(&endpoint("a", 2, SLOTS), 30), none());
    // What the earlier run still answers, and what others report of it, does not count.
    dispatcher.observe_limit(1, &NamedLimit::CallsPerS(1.0), "80", 40);
    dispatcher.merge_limits("entry-2", &reports, 50);
    expect_that!(dispatcher.limit_of(&endpoint("a", 2, SLOTS), 50), none());
}

#[googletest::test]
fn older_or_invalid_reports_of_other_entries_replaced_a_limit() {
    let mut dispatcher = dispatcher(&["a"], SLOTS);
    dispatcher.request_endpoint(query(0, 0), 0);
    dispatcher.observe_limit(0, &NamedLimit::CallsPerS(3.0), "7f", 1_000);
    let report = dispatcher.limit_reports(8, 1_100)[0];
    for (calls_per_s, age_ms) in [
        (None, 500),
        (Some(9.0), 500),
        (Some(f64::NAN), 0),
        (Some(-1.0), 0),
    ] {
        let report = EndpointLimitReport {
            calls_per_s,
            age_ms,
            ..report
        };
        expect_that!(
            dispatcher.merge_limits("entry-2", &[report], 1_200),
            is_empty()
        );
    }
    let newer = EndpointLimitReport {
        calls_per_s: Some(7.0),
        age_ms: 50,
        ..report
    };
    expect_that!(
        dispatcher.merge_limits("entry-2", &[newer], 1_200).len(),
        eq(1)
    );
}

#[googletest::test]
fn reports_of_limits_grew_with_the_number_of_endpoints() {
    let ids: Vec<String> = (0..1_300).map(|number| format!("i-{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut dispatcher = dispatcher(&ids, SLOTS);
    for number in 0..5_200 {
        dispatcher.request_endpoint(query(number, 0), 0);
        dispatcher.observe_limit(number, &NamedLimit::CallsPerS(1.0), "7f", 0);
        dispatcher.end(number, SendResult::Answered, 0);
    }
    let mut reported = std::collections::HashSet::new();
    for _ in 0..400 {
        let reports = dispatcher.limit_reports(32, 5_000);
        expect_that!(reports.len(), eq(32));
        reported.extend(reports.iter().map(|report| report.endpoint));
    }
    // All are reported in the end.
    expect_that!(reported.len(), ge(1_290));
}

#[googletest::test]
fn entries_handed_out_a_permit_twice_or_not_at_all() {
    let demands = [
        ("a", Some(10)),
        ("b", Some(400)),
        ("c", None),
        ("d", Some(37)),
    ];
    for permits in [1, 2, 3, 7, 50, 4_099] {
        for offset in [0, 1, 1 << 20, 1 << 31, u32::MAX] {
            let own = |address| DemandInterval::of(address, &demands).permits(permits, offset);
            let sum: u32 = ["a", "b", "c", "d"].into_iter().map(own).sum();
            expect_that!(sum, eq(permits), "offset {offset}");
            let fair = f64::from(permits) * 400.0 / 596.0;
            expect_that!(f64::from(own("b")), near(fair, 1.0), "offset {offset}");
        }
    }
}
