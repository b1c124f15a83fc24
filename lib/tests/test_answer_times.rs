//! Tests of the time within which an answer is expected.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::AnswerTimes;

const SHORT: Duration = Duration::from_millis(40);
const LONG: Duration = Duration::from_secs(4);

#[googletest::test]
fn answers_that_take_the_same_time_are_expected_in_little_more() {
    let times = AnswerTimes::default();
    for number in 0..100 {
        times.record("r1", SHORT + Duration::from_millis(number % 3));
    }
    let expected = times.expected("r1");
    expect_that!(expected, all!(gt(SHORT), le(SHORT + SHORT / 4)));
}

#[googletest::test]
fn a_route_with_long_answers_does_not_change_what_is_expected_of_another() {
    let times = AnswerTimes::default();
    for _ in 0..100 {
        times.record("short", SHORT);
        times.record("long", LONG);
    }
    expect_that!(times.expected("short"), le(SHORT + SHORT / 4));
    expect_that!(times.expected("long"), ge(LONG));
    expect_that!(times.expected("unknown"), eq(Duration::ZERO));
}

#[googletest::test]
fn one_long_answer_among_many_short_ones_is_not_expected_again() {
    let times = AnswerTimes::default();
    for number in 0..1_000 {
        let time = if number % 20 == 19 { LONG } else { SHORT };
        times.record("r1", time);
        expect_that!(times.expected("r1"), lt(LONG / 2));
    }
}
