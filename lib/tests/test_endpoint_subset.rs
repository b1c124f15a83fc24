//! Tests of the choice of endpoints that an entry keeps in touch with.

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
fn small_services_are_chosen_whole() {
    let pairs = all_pairs(&names("entry", 3), &names("vm", 3), 8);
    expect_that!(pairs, len(eq(9)));
}

#[googletest::test]
fn load_spreads_evenly() {
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
fn little_changes_when_an_endpoint_or_an_entry_goes() {
    let entries = names("entry", 40);
    let endpoints = names("vm", 59);
    let before = all_pairs(&entries, &endpoints, 8);
    for gone in [0, 17, 39] {
        let mut fewer = endpoints.clone();
        let lost = fewer.remove(gone);
        let after = all_pairs(&entries, &fewer, 8);
        let unavoidable = before.iter().filter(|(_, endpoint)| *endpoint == lost);
        let new_pairs = after.difference(&before).count();
        expect_that!(new_pairs, le(unavoidable.count() * 5));

        let mut fewer = entries.clone();
        fewer.remove(gone);
        let after = all_pairs(&fewer, &endpoints, 8);
        expect_that!(after.difference(&before).count(), le(8 * 5));
    }
}

/// Of two entries at one endpoint, each is at most of the other's endpoints as well.
#[googletest::test]
fn entries_that_share_an_endpoint_share_most() {
    for (entries, endpoints, size) in [(32, 64, 16), (32, 59, 16), (40, 59, 8)] {
        let pairs = all_pairs(&names("entry", entries), &names("vm", endpoints), size);
        let mut subsets: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (entry, endpoint) in &pairs {
            subsets.entry(entry).or_default().insert(endpoint);
        }
        let mut shared = Vec::new();
        for (entry, subset) in &subsets {
            let others = subsets.iter().filter(|(other, _)| *other != entry);
            let counts = others.map(|(_, other)| subset.intersection(other).count());
            shared.extend(counts);
        }
        let meetings: usize = shared.iter().sum();
        let shared_of_meetings: usize = shared.iter().map(|count| count * count).sum();
        let mean_percent = shared_of_meetings * 100 / (meetings * size);
        expect_that!(
            mean_percent,
            ge(50),
            "{entries} entries, {endpoints} endpoints"
        );
    }
}

#[googletest::test]
fn an_entry_that_the_list_lacks_chooses_as_well() {
    let subset = EndpointSubset {
        service: "quote-draft",
        size: 2,
    };
    let chosen = subset.choose("entry-9", &["entry-1"], &["vm-1", "vm-2", "vm-3"]);
    expect_that!(chosen, len(eq(2)));
}
