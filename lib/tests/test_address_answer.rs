//! Tests of the selection of entry addresses for callers.

use std::collections::BTreeMap;

use googletest::prelude::*;
use pomeloramp_lib::AddressAnswer;
use pomeloramp_lib::AddressRequest;
use pomeloramp_lib::EntryRecord;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;

const ZONES: [&str; 3] = ["cartago", "heredia", "alajuela"];
const NAMES: [&str; 9] = ["e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"];

/// Returns entries whose address is their name, with the zones assigned in turn.
fn entries(count: usize) -> Vec<EntryRecord<'static>> {
    NAMES[..count]
        .iter()
        .enumerate()
        .map(|(number, name)| EntryRecord {
            vm_name: name,
            caller_address: name,
            availability_zone: ZONES[number % ZONES.len()],
            leaving: false,
            suspected: false,
        })
        .collect()
}

fn request<'a>(caller: &'a str, zone: Option<&'a str>) -> AddressRequest<'a> {
    AddressRequest::builder()
        .caller(caller)
        .maybe_availability_zone(zone)
        .build()
}

/// Returns the number of callers by the first address in their answers.
fn first_addresses(entries: &[EntryRecord], callers: &[String]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for caller in callers {
        let answer = AddressAnswer::choose(entries, &request(caller, None));
        *counts.entry(answer.addresses[0].clone()).or_default() += 1;
    }
    counts
}

fn callers() -> Vec<String> {
    (0..9_000)
        .map(|number| format!("caller-{number}"))
        .collect()
}

#[googletest::test]
fn callers_of_a_failed_entry_spread_evenly_and_others_stay() {
    let all = entries(9);
    let callers = callers();
    let before = first_addresses(&all, &callers);
    let mut without = all.clone();
    without[4].suspected = true;
    let after = first_addresses(&without, &callers);
    expect_that!(after.get("e4"), none());
    for (address, count) in &before {
        expect_that!(*count, all!(ge(900), le(1_100)));
        if let Some(later) = after.get(address) {
            // An eighth of about a thousand callers moves to each.
            expect_that!(later - count, all!(ge(85), le(165)));
        }
    }
    for caller in &callers {
        let first = AddressAnswer::choose(&all, &request(caller, None));
        let second = AddressAnswer::choose(&without, &request(caller, None));
        if first.addresses[0] != "e4" {
            expect_that!(second.addresses[0], eq(&first.addresses[0]));
        }
    }
}

#[googletest::test]
fn own_availability_zone_goes_first_and_another_one_last() {
    let all = entries(9);
    for caller in &callers()[..100] {
        let answer = AddressAnswer::choose(&all, &request(caller, Some("heredia")));
        let zones: Vec<&str> = answer
            .addresses
            .iter()
            .map(|address| {
                let entry = all.iter().find(|entry| entry.caller_address == address);
                entry.unwrap().availability_zone
            })
            .collect();
        expect_that!(
            zones,
            elements_are![eq(&"heredia"), eq(&"heredia"), not(eq(&"heredia"))]
        );
    }
}

#[googletest::test]
fn all_entries_give_the_same_answer_whatever_the_order_of_their_lists() {
    let all = entries(9);
    let mut reversed = all.clone();
    reversed.reverse();
    for caller in &callers()[..100] {
        let request = request(caller, Some("cartago"));
        let answer = AddressAnswer::choose(&all, &request);
        expect_that!(AddressAnswer::choose(&reversed, &request), eq(&answer));
    }
}

#[googletest::test]
fn lifetimes_spread_and_are_short_without_an_open_entry() {
    let mut all = entries(3);
    let mut lifetimes_ms: Vec<u64> = callers()
        .iter()
        .map(|caller| AddressAnswer::choose(&all, &request(caller, None)).lifetime_ms)
        .collect();
    lifetimes_ms.sort_unstable();
    lifetimes_ms.dedup();
    expect_that!(lifetimes_ms, each(all!(ge(&7_500), le(&10_000))));
    expect_that!(lifetimes_ms.len(), ge(20));
    for entry in &mut all {
        entry.leaving = true;
    }
    let answer = AddressAnswer::choose(&all, &request("caller", None));
    expect_that!(answer.lifetime_ms, le(2_500));
}

proptest! {
    /// Leaving and suspected entries appear only if there is no better one, and the answer is never
    /// empty.
    #[test]
    fn answer_is_never_empty_nor_worse_than_needed(
        states in vec(any::<(bool, bool)>(), 1..9),
        zone in 0..4_usize,
        max_addresses in 0..5_usize,
        caller in "[a-z]{0,8}",
    ) {
        let mut all = entries(states.len());
        for (entry, (leaving, suspected)) in all.iter_mut().zip(&states) {
            entry.leaving = *leaving;
            entry.suspected = *suspected;
        }
        let request = AddressRequest::builder()
            .caller(&caller)
            .maybe_availability_zone(ZONES.get(zone).copied())
            .max_addresses(max_addresses)
            .build();
        let answer = AddressAnswer::choose(&all, &request);
        let rank = |entry: &EntryRecord| (entry.leaving, entry.suspected && !entry.leaving);
        let best = all.iter().map(rank).min().unwrap();
        let usable = all.iter().filter(|entry| rank(entry) == best).count();
        assert_eq!(answer.addresses.len(), usable.min(max_addresses.max(1)));
        let mut distinct = answer.addresses.clone();
        distinct.sort();
        distinct.dedup();
        assert_eq!(distinct.len(), answer.addresses.len());
        for address in &answer.addresses {
            let entry = all.iter().find(|entry| entry.caller_address == address).unwrap();
            assert_eq!(rank(entry), best);
        }
    }
}
