//! Tests of the selection of endpoints that an entry monitors and sends to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use googletest::prelude::*;
use pomeloramp_lib::EndpointSubset;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}-{n}")).collect()
}

fn all_pairs(entries: &[String], endpoints: &[String], size: usize) -> BTreeSet<(String, String)> {
    let subset = EndpointSubset {
        service: "quote-draft",
        size,
    };
    let entry_names: Vec<&str> = entries.iter().map(String::as_str).collect();
    let endpoint_names: Vec<&str> = endpoints.iter().map(String::as_str).collect();
    let mut pairs = BTreeSet::new();
    for entry in entries {
        for endpoint in subset.choose(entry, &entry_names, &endpoint_names) {
            pairs.insert((entry.clone(), endpoint));
        }
    }
    pairs
}

fn entries_per_endpoint(pairs: &BTreeSet<(String, String)>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (_, endpoint) in pairs {
        *counts.entry(endpoint.clone()).or_default() += 1;
    }
    counts
}

#[googletest::test]
fn all_endpoints_of_a_small_service_are_selected() {
    let pairs = all_pairs(&names("entry", 3), &names("vm", 3), 8);
    expect_that!(pairs, len(eq(9)));
}

#[googletest::test]
fn every_endpoint_has_about_the_mean_number_of_entries() {
    for (entries, endpoints, size) in [(8, 16, 6), (71, 59, 8), (30, 15, 8), (7, 19, 4)] {
        let pairs = all_pairs(&names("entry", entries), &names("vm", endpoints), size);
        expect_that!(pairs, len(eq(entries * size)));
        let counts = entries_per_endpoint(&pairs);
        let mean = entries * size / endpoints;
        expect_that!(counts, len(eq(endpoints)));
        expect_that!(counts.values().max(), some(le(&(mean + 1))));
        expect_that!(counts.values().min(), some(ge(&(mean - 1))));
    }
}

#[googletest::test]
fn few_pairs_change_when_an_endpoint_or_entry_is_removed() {
    let entries = names("entry", 40);
    let endpoints = names("vm", 59);
    let before = all_pairs(&entries, &endpoints, 8);
    for index in [0, 17, 39] {
        let mut fewer = endpoints.clone();
        let removed = fewer.remove(index);
        let after = all_pairs(&entries, &fewer, 8);
        let removed_pairs = before.iter().filter(|(_, endpoint)| *endpoint == removed);
        let new_pairs = after.difference(&before).count();
        expect_that!(new_pairs, le(removed_pairs.count() * 5));

        let mut fewer = entries.clone();
        fewer.remove(index);
        let after = all_pairs(&fewer, &endpoints, 8);
        expect_that!(after.difference(&before).count(), le(8 * 5));
    }
}

/// Two entries that share an endpoint share at least half of their endpoints on average.
#[googletest::test]
fn entries_that_share_an_endpoint_share_most_endpoints() {
    for (entries, endpoints, size) in [(32, 64, 16), (32, 59, 16), (40, 59, 8)] {
        let pairs = all_pairs(&names("entry", entries), &names("vm", endpoints), size);
        let mut subsets: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (entry, endpoint) in &pairs {
            subsets.entry(entry).or_default().insert(endpoint);
        }
        let mut shared_counts = Vec::new();
        for (entry, subset) in &subsets {
            let others = subsets.iter().filter(|(other, _)| *other != entry);
            let counts = others.map(|(_, other)| subset.intersection(other).count());
            shared_counts.extend(counts);
        }
        let total_shared: usize = shared_counts.iter().sum();
        let sum_of_squares: usize = shared_counts.iter().map(|count| count * count).sum();
        let mean_percent = sum_of_squares * 100 / (total_shared * size);
        expect_that!(
            mean_percent,
            ge(50),
            "{entries} entries, {endpoints} endpoints"
        );
    }
}

#[googletest::test]
fn an_entry_missing_from_the_list_selects_endpoints() {
    let subset = EndpointSubset {
        service: "quote-draft",
        size: 2,
    };
    let chosen = subset.choose("entry-9", &["entry-1"], &["vm-1", "vm-2", "vm-3"]);
    expect_that!(chosen, len(eq(2)));
}
