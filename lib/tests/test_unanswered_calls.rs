//! Tests of what shows that an endpoint which left a call unanswered has crashed.

use std::collections::BTreeSet;

use googletest::prelude::*;
use pomeloramp_lib::CrashSuspect;
use pomeloramp_lib::EndpointList;
use pomeloramp_lib::EndpointRecord;
use pomeloramp_lib::EndpointRun;
use pomeloramp_lib::ListSource;
use pomeloramp_lib::PlatformRevision;
use pomeloramp_lib::PromptPart;
use pomeloramp_lib::SuspectQuarantine;
use pomeloramp_lib::SuspectQuarantineSettings;
use pomeloramp_lib::UnansweredCalls;

const CAUSE: CrashSuspect = CrashSuspect::Part(PromptPart(1));
const ADDRESS: &str = "10.0.0.1:8080";

fn record(id: &str, address: &str, born_ms: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        service: "s1".to_owned(),
        address: address.to_owned(),
        availability_zone: "zone-1".to_owned(),
        slots: 4,
        is_leaving: false,
        born_ms,
    }
}

fn list(records: &[EndpointRecord]) -> EndpointList {
    EndpointList {
        records: records.iter().cloned().map(Into::into).collect(),
        missing: BTreeSet::default(),
        held_back: BTreeSet::default(),
        position: PlatformRevision::default(),
        source: ListSource::Platform,
    }
}

fn run() -> EndpointRun {
    EndpointRun::of(&record("i-1", ADDRESS, 1_000))
}

/// Returns the number of calls at [`run`] that count as crashed when a list comes.
fn crashed(listed: &EndpointList, ended_ms: u64, now_ms: u64) -> usize {
    let mut calls = UnansweredCalls::default();
    calls.record("call", run(), ended_ms);
    let has_ended = |run: &EndpointRun| run.has_ended(listed);
    calls.take_crashed(has_ended, now_ms).len()
}

#[googletest::test]
fn a_later_run_of_the_endpoint_shows_its_crash() {
    let same_id = list(&[record("i-1", "10.0.0.2:8080", 5_000)]);
    expect_that!(crashed(&same_id, 2_000, 5_100), eq(1));
    let same_address = list(&[record("i-9", ADDRESS, 5_000)]);
    expect_that!(crashed(&same_address, 2_000, 5_100), eq(1));
}

/// Guards against taking an endpoint for crashed that stood still or was cut off.
#[googletest::test]
fn an_endpoint_that_goes_on_in_its_run_has_not_crashed() {
    let same_run = list(&[
        record("i-1", ADDRESS, 1_000),
        record("i-2", "10.0.0.2:8080", 9_000),
    ]);
    expect_that!(crashed(&same_run, 2_000, 5_100), eq(0));
    expect_that!(crashed(&list(&[]), 2_000, 5_100), eq(0));
    // A platform that was restored may list an earlier run.
    let earlier_run = list(&[record("i-1", ADDRESS, 500)]);
    expect_that!(crashed(&earlier_run, 2_000, 5_100), eq(0));
}

#[googletest::test]
fn a_run_that_begins_long_after_a_call_is_no_evidence() {
    let later = list(&[record("i-1", ADDRESS, 5_000)]);
    expect_that!(crashed(&later, 2_000, 60_000), eq(0));
}

#[googletest::test]
fn many_unanswered_calls_are_bounded() {
    let mut calls = UnansweredCalls::default();
    for number in 0..10_000 {
        calls.record(number, run(), 1_000);
    }
    let crashed = calls.take_crashed(|_| true, 1_100);
    expect_that!(crashed.len(), le(256));
    expect_that!(crashed.last().map(|call| call.call), some(eq(9_999)));
}

#[googletest::test]
fn a_crash_that_connections_and_the_new_run_show_counts_once() {
    let mut quarantine = SuspectQuarantine::new(SuspectQuarantineSettings::builder().build());
    for crash in 0..2 {
        quarantine.record_crash(&[CAUSE], crash, 1_000);
        quarantine.record_past_crash(&[CAUSE], crash, 1_000, 6_000);
    }
    expect_that!(quarantine.refusal(&[CAUSE], 8_000), none());
    quarantine.record_past_crash(&[CAUSE], 2, 2_000, 6_000);
    expect_that!(quarantine.refusal(&[CAUSE], 8_000), some(anything()));
}

/// Guards against evidence that comes late: a survival shortly before the crash makes it void, though the new
/// run is listed long after.
#[googletest::test]
fn a_survival_before_the_crash_makes_it_void_when_its_evidence_comes() {
    let mut quarantine = SuspectQuarantine::new(SuspectQuarantineSettings::builder().build());
    quarantine.record_survival(&[CAUSE], 1_000);
    for crash in 0..3 {
        quarantine.record_past_crash(&[CAUSE], crash, 2_000, 14_000);
    }
    expect_that!(quarantine.refusal(&[CAUSE], 16_000), none());
}
