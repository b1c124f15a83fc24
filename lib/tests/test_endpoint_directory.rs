//! Tests of the list of endpoints over outages of the platform.

use googletest::prelude::*;
use pomeloramp_lib::EndpointDirectory;
use pomeloramp_lib::EndpointRecord;

fn record(id: &str, address: &str, born_ms: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        service: "drafts".to_owned(),
        address: address.to_owned(),
        availability_zone: "zone-1".to_owned(),
        slots: 4,
        is_leaving: false,
        born_ms,
    }
}

fn ids(directory: &EndpointDirectory) -> Vec<String> {
    let mut ids: Vec<String> = directory.list().iter().map(|r| r.id.clone()).collect();
    ids.sort();
    ids
}

#[googletest::test]
fn a_removed_endpoint_is_gone_at_once_in_calm_times() {
    let mut directory = EndpointDirectory::default();
    directory.replace(
        vec![(record("a", "a:1", 1), 5), (record("b", "b:1", 1), 6)],
        0,
    );
    directory.remove("a", 7, 10);
    expect_that!(ids(&directory), elements_are![eq("b")]);
}

#[googletest::test]
fn a_record_that_lapsed_in_an_outage_is_kept_until_it_had_time_to_come_back() {
    let mut directory = EndpointDirectory::default();
    directory.replace(
        vec![(record("a", "a:1", 1), 5), (record("b", "b:1", 1), 6)],
        0,
    );
    directory.replace(vec![(record("b", "b:1", 1), 6)], 9_000);
    expect_that!(ids(&directory), elements_are![eq("a"), eq("b")]);
    expect_false!(directory.expire(10_900));
    directory.change(record("a", "a:1", 1), 9, 10_950);
    expect_false!(directory.expire(11_500));
    expect_that!(ids(&directory), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn a_record_that_does_not_come_back_is_gone() {
    let mut directory = EndpointDirectory::default();
    directory.replace(vec![(record("a", "a:1", 1), 5)], 0);
    directory.replace(Vec::new(), 9_000);
    expect_true!(directory.expire(11_100));
    expect_that!(ids(&directory), is_empty());
}

#[googletest::test]
fn a_leaving_endpoint_is_not_kept_over_an_outage() {
    let mut directory = EndpointDirectory::default();
    let leaving = EndpointRecord {
        is_leaving: true,
        ..record("a", "a:1", 1)
    };
    directory.replace(vec![(leaving, 5)], 0);
    directory.replace(Vec::new(), 9_000);
    expect_that!(ids(&directory), is_empty());
}

#[googletest::test]
fn of_two_records_with_one_address_the_later_process_counts() {
    let mut directory = EndpointDirectory::default();
    directory.replace(
        vec![(record("old", "a:1", 1), 5), (record("new", "a:1", 2), 9)],
        0,
    );
    expect_that!(ids(&directory), elements_are![eq("new")]);
}

#[googletest::test]
fn an_older_change_does_not_undo_a_newer_one() {
    let mut directory = EndpointDirectory::default();
    directory.replace(vec![(record("a", "a:1", 1), 9)], 0);
    directory.change(record("a", "a:2", 1), 7, 10);
    directory.remove("a", 8, 20);
    expect_that!(directory.list()[0].address, eq("a:1"));
}

#[googletest::test]
fn a_removed_endpoint_was_kept_after_a_loss_too_short_for_any_record_to_lapse() {
    let mut directory = EndpointDirectory::default();
    directory.replace(
        vec![(record("a", "a:1", 1), 5), (record("b", "b:1", 1), 6)],
        0,
    );
    directory.replace(vec![(record("b", "b:1", 1), 6)], 1_500);
    expect_that!(ids(&directory), elements_are![eq("b")]);
}
