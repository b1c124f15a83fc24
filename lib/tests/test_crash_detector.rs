//! Tests of the crash detector of an entry, and of when crashing content is quarantined.

use googletest::prelude::*;
use pomeloramp_lib::ContentFingerprint;
use pomeloramp_lib::ContentStatus;
use pomeloramp_lib::CrashDetector;
use pomeloramp_lib::Quarantine;
use pomeloramp_lib::QuarantineSettings;

const POISON: ContentFingerprint = ContentFingerprint(1);
const BYSTANDER: ContentFingerprint = ContentFingerprint(2);

fn quarantine() -> Quarantine {
    Quarantine::new(
        QuarantineSettings::builder()
            .max_entries(16)
            .suspicion_ms(60_000)
            .quarantine_ms(300_000)
            .transit_margin_ms(1_000)
            .quarantine_after_shared_crashes(3)
            .build(),
    )
}

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

#[googletest::test]
fn content_is_quarantined_after_its_third_crash_whichever_entry_saw_each() {
    let mut first = quarantine();
    let mut second = quarantine();
    first.record_shared_crash(&[POISON, BYSTANDER], 1_000);
    second.merge(&first.changes_after(0, 16, 1_100).0, 1_100);
    second.record_shared_crash(&[POISON], 5_000);
    first.merge(&second.changes_after(0, 16, 5_100).0, 5_100);
    expect_that!(
        first.content_status(POISON, 5_200),
        eq(ContentStatus::Suspect)
    );
    first.record_shared_crash(&[POISON], 9_000);
    second.merge(&first.changes_after(0, 16, 9_100).0, 9_100);
    for quarantine in [&first, &second] {
        let content_status = quarantine.content_status(POISON, 9_200);
        expect_that!(content_status, eq(ContentStatus::Quarantined));
        let content_status = quarantine.content_status(BYSTANDER, 9_200);
        expect_that!(content_status, eq(ContentStatus::Suspect));
    }
}

#[googletest::test]
fn content_whose_crashes_entries_saw_at_the_same_time_was_not_quarantined() {
    let mut entries = [quarantine(), quarantine(), quarantine()];
    for entry in &mut entries {
        entry.record_shared_crash(&[POISON], 1_000);
    }
    let [first, second, third] = &mut entries;
    for other in [second, third] {
        first.merge(&other.changes_after(0, 16, 1_100).0, 1_100);
    }
    let content_status = first.content_status(POISON, 1_200);
    expect_that!(content_status, eq(ContentStatus::Quarantined));
}
