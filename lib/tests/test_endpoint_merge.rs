//! Tests of what an entry that can't hear the platform takes over from another one.

use std::sync::Arc;

use googletest::prelude::*;
use pomeloramp_lib::EndpointRecord;
use pomeloramp_lib::merge_of_peer;

fn record(id: &str, born_ms: u64, is_leaving: bool) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        service: "drafts".to_owned(),
        address: format!("{id}:80"),
        availability_zone: "zone-1".to_owned(),
        slots: 2,
        is_leaving,
        born_ms,
    }
}

fn known(records: &[EndpointRecord]) -> Vec<Arc<EndpointRecord>> {
    records.iter().cloned().map(Arc::new).collect()
}

fn merged(known: Option<&[Arc<EndpointRecord>]>, told: &[EndpointRecord]) -> Vec<(String, bool)> {
    let merged = merge_of_peer(known, told.to_vec());
    let names = merged
        .iter()
        .map(|record| (record.id.clone(), record.is_leaving));
    names.collect()
}

#[googletest::test]
fn an_entry_that_has_just_started_takes_all() {
    let told = [record("a", 10, false), record("b", 20, true)];
    let expected = vec![("a".to_owned(), false), ("b".to_owned(), true)];
    expect_that!(merged(None, &told), eq(&expected));
}

#[googletest::test]
fn an_endpoint_that_leaves_does_not_come_back_from_an_entry_that_is_behind() {
    let known = known(&[record("a", 10, true), record("b", 20, false)]);
    let told = [record("a", 10, false), record("b", 20, true)];
    let expected = vec![("a".to_owned(), true), ("b".to_owned(), true)];
    expect_that!(merged(Some(&known), &told), eq(&expected));
}

#[googletest::test]
fn only_endpoints_that_started_later_are_taken_for_new() {
    let known = known(&[record("b", 20, false)]);
    let told = [
        record("gone", 10, false),
        record("b", 20, false),
        record("new", 30, false),
    ];
    let expected = vec![("b".to_owned(), false), ("new".to_owned(), false)];
    expect_that!(merged(Some(&known), &told), eq(&expected));
}

#[googletest::test]
fn an_endpoint_that_the_other_entry_no_longer_lists_is_gone() {
    let known = known(&[record("a", 10, false), record("b", 20, false)]);
    let told = [record("b", 20, false)];
    let expected = vec![("b".to_owned(), false)];
    expect_that!(merged(Some(&known), &told), eq(&expected));
    let all = vec![("a".to_owned(), false), ("b".to_owned(), false)];
    expect_that!(merged(Some(&known), &[]), eq(&all));
}
