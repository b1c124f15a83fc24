//! Tests of the list of endpoints after the platform was restored from an older copy: its era rises,
//! revisions go back, and what was written after the copy is lost until it is written again.

use googletest::prelude::*;
use pomeloramp_lib::EndpointDirectory;
use pomeloramp_lib::EndpointRecord;
use pomeloramp_lib::PlatformRevision;

const HEARTBEAT_MS: u64 = 1_000;
/// Time after the start of an era after which the platform's word is taken for every record: three
/// heartbeats, and two seconds for records to be published again.
const SETTLE_MS: u64 = 5_000;
/// Time from the restoration of the platform to the end of the grace period of missing records.
const GRACE_MS: u64 = 2_000;

fn at(era: u64, revision: u64) -> PlatformRevision {
    PlatformRevision::new(era, revision)
}

fn record(id: &str, born_ms: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        service: "drafts".to_owned(),
        address: format!("{id}:1"),
        availability_zone: "zone-1".to_owned(),
        slots: 4,
        is_leaving: false,
        born_ms,
    }
}

fn leaving(id: &str, born_ms: u64) -> EndpointRecord {
    EndpointRecord {
        is_leaving: true,
        ..record(id, born_ms)
    }
}

/// Returns the ids of the endpoints that may get calls.
fn serving(directory: &EndpointDirectory) -> Vec<String> {
    let list = directory.list();
    let serving = list.iter().filter(|record| !record.is_leaving);
    let mut ids: Vec<String> = serving.map(|record| record.id.clone()).collect();
    ids.sort();
    ids
}

/// Returns a directory that has read the endpoints `a` and `b` at revision 50 of the first era.
fn directory() -> EndpointDirectory {
    let mut directory = EndpointDirectory::for_heartbeat(HEARTBEAT_MS);
    let records = vec![(record("a", 1), 40), (record("b", 2), 41)];
    directory.replace(records, at(1, 50), 0);
    directory
}

/// Reads the copy, in which both endpoints serve as before, at the start of era `era`.
fn restore_both(directory: &mut EndpointDirectory, era: u64, now_ms: u64) {
    let records = vec![(record("a", 1), 40), (record("b", 2), 41)];
    directory.replace(records, at(era, 45), now_ms);
}

#[googletest::test]
fn a_list_of_a_later_era_replaces_one_of_a_higher_revision() {
    let mut directory = directory();
    directory.confirm(at(1, 120));
    directory.replace(vec![(record("a", 1), 40)], at(2, 45), 1_000);
    expect_that!(directory.position(), eq(at(2, 45)));
    directory.upsert(leaving("a", 1), at(2, 60), 1_500);
    expect_that!(serving(&directory), elements_are![eq("b")]);
}

#[googletest::test]
fn an_endpoint_that_leaves_under_a_revision_given_out_again_gets_no_calls() {
    let mut directory = directory();
    directory.upsert(record("a", 1), at(1, 110), 500);
    directory.confirm(at(1, 120));
    restore_both(&mut directory, 2, 1_000);
    directory.upsert(leaving("a", 1), at(2, 60), 4_000);
    directory.remove("b", at(2, 61), 4_000);
    expect_that!(serving(&directory), is_empty());
}

#[googletest::test]
fn changes_and_lists_of_an_earlier_era_are_ignored() {
    let mut directory = directory();
    restore_both(&mut directory, 2, 1_000);
    directory.upsert(leaving("a", 1), at(1, 200), 1_100);
    directory.remove("b", at(1, 201), 1_100);
    directory.replace(Vec::new(), at(1, 202), 1_100);
    expect_false!(directory.replace_from_entry(vec![record("c", 3)], at(1, 300), 1_100));
    directory.confirm(at(1, 400));
    expect_that!(serving(&directory), elements_are![eq("a"), eq("b")]);
    expect_that!(directory.position(), eq(at(2, 45)));
}

#[googletest::test]
fn an_instance_that_reported_its_leaving_does_not_return_with_the_copy() {
    let mut directory = directory();
    directory.upsert(leaving("a", 1), at(1, 60), 500);
    restore_both(&mut directory, 2, 1_000);
    expect_that!(serving(&directory), elements_are![eq("b")]);
    directory.expire(1_000 + 2 * SETTLE_MS);
    expect_that!(serving(&directory), elements_are![eq("b")]);
    restore_both(&mut directory, 3, 60_000);
    expect_that!(serving(&directory), elements_are![eq("b")]);
}

#[googletest::test]
fn an_instance_that_left_after_the_copy_does_not_return_while_its_writes_are_repeated() {
    let mut directory = directory();
    directory.upsert(record("c", 3), at(1, 60), 500);
    directory.upsert(leaving("c", 3), at(1, 61), 600);
    restore_both(&mut directory, 2, 1_000);
    directory.upsert(record("c", 3), at(2, 46), 1_500);
    expect_that!(serving(&directory), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn an_instance_whose_record_was_removed_does_not_return_with_the_copy() {
    let mut directory = directory();
    directory.remove("a", at(1, 60), 500);
    restore_both(&mut directory, 2, 1_000);
    expect_that!(serving(&directory), elements_are![eq("b")]);
    expect_that!(directory.held_back(), unordered_elements_are![eq("a")]);
    directory.remove("a", at(2, 46), 1_500);
    directory.expire(1_000 + SETTLE_MS);
    expect_that!(serving(&directory), elements_are![eq("b")]);
}

#[googletest::test]
fn a_removed_record_that_is_written_again_as_it_was_gets_calls_at_once() {
    let mut directory = directory();
    directory.remove("a", at(1, 60), 500);
    restore_both(&mut directory, 2, 1_000);
    directory.upsert(record("a", 1), at(2, 46), 1_600);
    expect_that!(serving(&directory), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn a_record_written_again_that_is_found_by_a_full_read_gets_calls() {
    let mut directory = directory();
    directory.remove("a", at(1, 60), 500);
    restore_both(&mut directory, 2, 1_000);
    let records = vec![(record("a", 1), 46), (record("b", 2), 41)];
    directory.replace(records, at(2, 47), 1_600);
    expect_that!(serving(&directory), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn the_platform_is_believed_once_every_live_endpoint_has_written_again() {
    let mut directory = directory();
    directory.remove("a", at(1, 60), 500);
    restore_both(&mut directory, 2, 1_000);
    expect_that!(directory.next_expiry_ms(), some(eq(1_000 + SETTLE_MS)));
    expect_false!(directory.expire(1_000 + SETTLE_MS - 1));
    expect_true!(directory.expire(1_000 + SETTLE_MS));
    expect_that!(serving(&directory), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn an_endpoint_that_was_reborn_under_its_id_gets_calls() {
    let mut directory = directory();
    directory.upsert(leaving("a", 1), at(1, 60), 500);
    directory.remove("a", at(1, 61), 600);
    let records = vec![(record("a", 7), 46), (record("b", 2), 41)];
    directory.replace(records, at(2, 46), 1_000);
    expect_that!(serving(&directory), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn an_earlier_instance_of_a_reborn_endpoint_does_not_replace_it() {
    let mut directory = directory();
    directory.upsert(record("a", 7), at(1, 60), 500);
    restore_both(&mut directory, 2, 1_000);
    let born = |directory: &EndpointDirectory| {
        let list = directory.list();
        list.iter().find(|r| r.id == "a").map(|r| r.born_ms)
    };
    expect_that!(born(&directory), some(eq(7)));
    directory.upsert(record("a", 7), at(2, 46), 1_500);
    directory.expire(1_000 + GRACE_MS);
    expect_that!(born(&directory), some(eq(7)));
    restore_both(&mut directory, 3, 3_000);
    directory.expire(3_000 + GRACE_MS);
    expect_that!(serving(&directory), elements_are![eq("b")]);
}

#[googletest::test]
fn an_endpoint_that_joined_after_the_copy_is_kept_until_it_is_written_again() {
    let mut directory = directory();
    directory.upsert(record("c", 3), at(1, 60), 500);
    restore_both(&mut directory, 2, 1_000);
    expect_that!(
        serving(&directory),
        elements_are![eq("a"), eq("b"), eq("c")]
    );
    directory.upsert(record("c", 3), at(2, 46), 1_500);
    directory.expire(1_000 + GRACE_MS);
    expect_that!(
        serving(&directory),
        elements_are![eq("a"), eq("b"), eq("c")]
    );
}

#[googletest::test]
fn a_second_restoration_in_a_row_brings_no_departed_endpoint_back() {
    let mut directory = directory();
    directory.remove("a", at(1, 60), 500);
    restore_both(&mut directory, 2, 1_000);
    restore_both(&mut directory, 3, 2_000);
    expect_that!(serving(&directory), elements_are![eq("b")]);
    restore_both(&mut directory, 4, 2_000 + SETTLE_MS - 1);
    expect_that!(serving(&directory), elements_are![eq("b")]);
}

#[googletest::test]
fn the_list_of_another_entry_in_a_later_era_brings_no_departed_endpoint_back() {
    let mut directory = directory();
    directory.upsert(leaving("a", 1), at(1, 60), 500);
    directory.remove("b", at(1, 61), 500);
    let received = vec![record("a", 1), record("b", 2), record("c", 3)];
    expect_true!(directory.replace_from_entry(received.clone(), at(2, 45), 1_000));
    expect_that!(serving(&directory), elements_are![eq("c")]);
    expect_true!(directory.replace_from_entry(received.clone(), at(2, 45), 1_400));
    expect_that!(serving(&directory), elements_are![eq("c")]);
    expect_true!(directory.replace_from_entry(received, at(2, 45), 1_000 + SETTLE_MS));
    expect_that!(serving(&directory), elements_are![eq("b"), eq("c")]);
}

#[googletest::test]
fn an_entry_that_started_in_the_new_era_learns_of_departures_from_another_one() {
    let mut informed = directory();
    informed.upsert(leaving("a", 1), at(1, 60), 500);
    informed.remove("b", at(1, 61), 500);
    let mut started = EndpointDirectory::for_heartbeat(HEARTBEAT_MS);
    restore_both(&mut started, 2, 1_000);
    started.upsert(record("c", 3), at(2, 46), 1_100);
    expect_true!(started.is_settling(1_200));
    started.merge_departed(informed.departed(), 1_200);
    expect_that!(serving(&started), elements_are![eq("c")]);
    expect_that!(started.held_back(), unordered_elements_are![eq("b")]);
    started.upsert(record("b", 2), at(2, 47), 1_300);
    started.merge_departed(informed.departed(), 1_400);
    expect_that!(serving(&started), elements_are![eq("b"), eq("c")]);
    expect_false!(started.is_settling(1_000 + SETTLE_MS));
}

#[googletest::test]
fn departures_of_the_same_or_a_later_era_are_not_taken_over() {
    let mut informed = directory();
    restore_both(&mut informed, 2, 1_000);
    informed.upsert(leaving("a", 1), at(2, 60), 1_500);
    let mut other = directory();
    other.merge_departed(informed.departed(), 1_600);
    expect_that!(serving(&other), elements_are![eq("a"), eq("b")]);
    restore_both(&mut other, 2, 1_700);
    other.merge_departed(informed.departed(), 1_800);
    expect_that!(serving(&other), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn an_instance_without_a_start_time_returns_when_it_is_written_again() {
    let mut directory = EndpointDirectory::for_heartbeat(HEARTBEAT_MS);
    directory.replace(vec![(record("a", 0), 40)], at(1, 50), 0);
    directory.upsert(leaving("a", 0), at(1, 60), 500);
    directory.replace(vec![(record("a", 0), 40)], at(2, 45), 1_000);
    expect_that!(serving(&directory), is_empty());
    directory.upsert(record("a", 0), at(2, 46), 1_500);
    expect_that!(serving(&directory), elements_are![eq("a")]);
}

#[googletest::test]
fn a_platform_without_eras_never_holds_an_endpoint_back() {
    let mut directory = EndpointDirectory::for_heartbeat(HEARTBEAT_MS);
    directory.replace(vec![(record("a", 1), 40)], at(0, 50), 0);
    directory.upsert(leaving("a", 1), at(0, 60), 500);
    directory.upsert(record("a", 1), at(0, 61), 600);
    expect_that!(serving(&directory), elements_are![eq("a")]);
    expect_false!(directory.is_settling(0));
}
