//! Tests of the crash detector of an entry.

use googletest::prelude::*;
use pomeloramp_lib::ContentFingerprint;
use pomeloramp_lib::CrashDetector;

const POISON: ContentFingerprint = ContentFingerprint(1);
const BYSTANDER: ContentFingerprint = ContentFingerprint(2);

#[googletest::test]
fn a_reset_connection_to_a_live_endpoint_is_no_crash() {
    let mut detector = CrashDetector::default();
    for call in 0..5 {
        expect_that!(detector.record_broken_call(POISON, "a", call * 100), none());
    }
    // A dead endpoint "b" is no evidence that "a" crashed.
    expect_that!(detector.record_dead_endpoint("b", 600), is_empty());
}

#[googletest::test]
fn calls_that_broke_shortly_before_the_endpoint_was_dead_count_as_crashed() {
    let mut detector = CrashDetector::default();
    detector.record_broken_call(POISON, "a", 100);
    detector.record_broken_call(BYSTANDER, "a", 110);
    expect_that!(
        detector.record_dead_endpoint("a", 400),
        unordered_elements_are![eq(&POISON), eq(&BYSTANDER)]
    );
    // Each call is reported once only.
    expect_that!(detector.record_dead_endpoint("a", 500), is_empty());
    // A call whose broken connection is noticed late belongs to the same crash.
    expect_that!(
        detector.record_broken_call(BYSTANDER, "a", 600),
        some(eq(BYSTANDER))
    );
}

#[googletest::test]
fn a_call_that_broke_long_before_the_crash_does_not_count() {
    let mut detector = CrashDetector::default();
    detector.record_broken_call(POISON, "a", 100);
    expect_that!(detector.record_dead_endpoint("a", 2_500), is_empty());
}
