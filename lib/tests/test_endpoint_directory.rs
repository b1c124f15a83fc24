//! Tests of the list of endpoints through outages of the platform.

use googletest::prelude::*;
use pomeloramp_lib::EndpointDirectory;
use pomeloramp_lib::EndpointRecord;
use pomeloramp_lib::PlatformRevision;

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

/// Returns a position in the history of a platform that was never restored.
fn at(revision: u64) -> PlatformRevision {
    PlatformRevision::new(0, revision)
}

fn ids(directory: &EndpointDirectory) -> Vec<String> {
    let mut ids: Vec<String> = directory.list().iter().map(|r| r.id.clone()).collect();
    ids.sort();
    ids
}

#[googletest::test]
fn a_removed_endpoint_is_gone_at_once_without_an_outage() {
    let mut directory = EndpointDirectory::default();
    directory.replace(
        vec![(record("a", "a:1", 1), 5), (record("b", "b:1", 1), 6)],
        at(6),
        0,
    );
    directory.remove("a", at(7), 10);
    expect_that!(ids(&directory), elements_are![eq("b")]);
}

#[googletest::test]
fn a_record_that_lapsed_in_an_outage_is_kept_for_the_grace_period() {
    let mut directory = EndpointDirectory::default();
    directory.replace(
        vec![(record("a", "a:1", 1), 5), (record("b", "b:1", 1), 6)],
        at(6),
        0,
    );
    directory.replace(vec![(record("b", "b:1", 1), 6)], at(8), 9_000);
    expect_that!(ids(&directory), elements_are![eq("a"), eq("b")]);
    expect_false!(directory.expire(10_900));
    directory.upsert(record("a", "a:1", 1), at(9), 11_000);
    expect_false!(directory.expire(11_500));
    expect_that!(ids(&directory), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn a_record_that_does_not_reappear_is_gone_after_the_grace_period() {
    let mut directory = EndpointDirectory::default();
    directory.replace(vec![(record("a", "a:1", 1), 5)], at(5), 0);
    directory.replace(Vec::new(), at(8), 9_000);
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
    directory.replace(vec![(leaving, 5)], at(5), 0);
    directory.replace(Vec::new(), at(8), 9_000);
    expect_that!(ids(&directory), is_empty());
}

#[googletest::test]
fn of_two_records_with_the_same_address_the_later_process_counts() {
    let mut directory = EndpointDirectory::default();
    directory.replace(
        vec![(record("old", "a:1", 1), 5), (record("new", "a:1", 2), 9)],
        at(9),
        0,
    );
    expect_that!(ids(&directory), elements_are![eq("new")]);
}

#[googletest::test]
fn an_older_change_does_not_undo_a_newer_one() {
    let mut directory = EndpointDirectory::default();
    directory.replace(vec![(record("a", "a:1", 1), 9)], at(9), 0);
    directory.upsert(record("a", "a:2", 1), at(7), 11_000);
    directory.remove("a", at(8), 20);
    expect_that!(directory.list()[0].address, eq("a:1"));
}

#[googletest::test]
fn a_removed_endpoint_is_gone_after_an_interruption_too_short_for_any_record_to_lapse() {
    let mut directory = EndpointDirectory::default();
    directory.replace(
        vec![(record("a", "a:1", 1), 5), (record("b", "b:1", 1), 6)],
        at(6),
        0,
    );
    directory.replace(vec![(record("b", "b:1", 1), 6)], at(7), 1_500);
    expect_that!(ids(&directory), elements_are![eq("b")]);
}

fn leaving(id: &str, address: &str, born_ms: u64) -> EndpointRecord {
    EndpointRecord {
        is_leaving: true,
        ..record(id, address, born_ms)
    }
}

/// Returns the ids of the endpoints, with whether each is leaving.
fn endpoint_states(directory: &EndpointDirectory) -> Vec<(String, bool)> {
    let list = directory.list();
    let names = list.iter().map(|r| (r.id.clone(), r.is_leaving));
    names.collect()
}

fn endpoint_state(id: &str, is_leaving: bool) -> (String, bool) {
    (id.to_owned(), is_leaving)
}

#[googletest::test]
fn an_entry_that_has_just_started_adopts_the_whole_list_of_another_one() {
    let mut directory = EndpointDirectory::default();
    let received = vec![record("a", "a:1", 10), leaving("b", "b:1", 20)];
    expect_true!(directory.replace_from_entry(received, at(7), 1_000));
    expect_that!(
        endpoint_states(&directory),
        elements_are![
            eq(&endpoint_state("a", false)),
            eq(&endpoint_state("b", true))
        ]
    );
    expect_that!(directory.position(), eq(at(7)));
}

#[googletest::test]
fn a_leaving_endpoint_does_not_reappear_from_an_entry_that_is_behind() {
    let mut directory = EndpointDirectory::default();
    let known = vec![(leaving("a", "a:1", 10), 9), (record("b", "b:1", 20), 6)];
    directory.replace(known, at(9), 0);
    let received = vec![record("a", "a:1", 10), leaving("b", "b:1", 20)];
    expect_false!(directory.replace_from_entry(received.clone(), at(8), 1_000));
    expect_that!(
        endpoint_states(&directory),
        elements_are![
            eq(&endpoint_state("a", true)),
            eq(&endpoint_state("b", false))
        ]
    );
    expect_true!(directory.replace_from_entry(received, at(9), 1_000));
    expect_that!(
        endpoint_states(&directory),
        elements_are![
            eq(&endpoint_state("a", true)),
            eq(&endpoint_state("b", true))
        ]
    );
}

#[googletest::test]
fn an_endpoint_that_is_gone_does_not_reappear_from_an_entry_that_is_behind() {
    let mut directory = EndpointDirectory::default();
    directory.replace(vec![(record("b", "b:1", 20), 6)], at(9), 0);
    let received = vec![record("gone", "g:1", 10), record("b", "b:1", 20)];
    expect_false!(directory.replace_from_entry(received, at(8), 1_000));
    expect_that!(ids(&directory), elements_are![eq("b")]);
    let received = vec![record("b", "b:1", 20), record("new", "n:1", 30)];
    expect_true!(directory.replace_from_entry(received, at(10), 1_000));
    expect_that!(ids(&directory), elements_are![eq("b"), eq("new")]);
}

#[googletest::test]
fn an_endpoint_that_another_entry_no_longer_lists_is_gone() {
    let mut directory = EndpointDirectory::default();
    let known = vec![(record("a", "a:1", 10), 5), (record("b", "b:1", 20), 6)];
    directory.replace(known, at(6), 0);
    expect_false!(directory.replace_from_entry(Vec::new(), at(9), 1_000));
    expect_that!(ids(&directory), elements_are![eq("a"), eq("b")]);
    expect_true!(directory.replace_from_entry(vec![record("b", "b:1", 20)], at(9), 1_000));
    expect_that!(ids(&directory), elements_are![eq("b")]);
}

#[googletest::test]
fn an_endpoint_that_another_entry_no_longer_lists_does_not_reappear_after_the_own_outage() {
    let mut directory = EndpointDirectory::default();
    let known = vec![(record("a", "a:1", 10), 5), (record("b", "b:1", 20), 6)];
    directory.replace(known, at(6), 0);
    expect_true!(directory.replace_from_entry(vec![record("b", "b:1", 20)], at(9), 1_000));
    directory.replace(vec![(record("b", "b:1", 20), 6)], at(9), 9_000);
    expect_that!(ids(&directory), elements_are![eq("b")]);
}

#[googletest::test]
fn a_delayed_snapshot_does_not_undo_the_later_list_of_another_entry() {
    let mut directory = EndpointDirectory::default();
    let known = vec![(record("a", "a:1", 10), 5), (record("b", "b:1", 20), 6)];
    directory.replace(known.clone(), at(6), 0);
    expect_true!(directory.replace_from_entry(vec![record("b", "b:1", 20)], at(9), 1_000));
    directory.replace(known, at(6), 2_000);
    expect_that!(ids(&directory), elements_are![eq("b")]);
    directory.upsert(record("a", "a:1", 10), at(8), 11_000);
    expect_that!(ids(&directory), elements_are![eq("b")]);
    expect_that!(directory.position(), eq(at(9)));
}

/// Guards against a record of a service that nothing names, which hid the endpoint at its address.
#[googletest::test]
fn a_record_of_an_unnamed_service_hid_the_endpoint_at_its_address() {
    let mut directory = EndpointDirectory::default();
    let unnamed = EndpointRecord {
        service: "unnamed".to_owned(),
        ..record("b", "a:1", 2)
    };
    directory.set_named_services(["drafts".to_owned()].into());
    directory.replace(vec![(record("a", "a:1", 1), 5), (unnamed, 6)], at(6), 0);
    expect_that!(ids(&directory), elements_are![eq("a")]);
    let services = ["drafts".to_owned(), "unnamed".to_owned()];
    directory.set_named_services(services.into());
    expect_that!(ids(&directory), elements_are![eq("b")]);
}
