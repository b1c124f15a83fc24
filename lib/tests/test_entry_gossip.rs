//! Tests of what entries of the direct path know of each other.

use googletest::prelude::*;
use pomeloramp_lib::EntryGossip;
use pomeloramp_lib::GossipSettings;
use pomeloramp_lib::protos::control::EndpointSlowdown;
use pomeloramp_lib::protos::control::GossipMessage;
use pomeloramp_lib::protos::control::GossipWord;

const INTERVAL_MS: u64 = 200;

fn gossip(own: &str, seeds: &[&str]) -> EntryGossip {
    EntryGossip::new(
        GossipSettings::builder()
            .own_address(own.to_owned())
            .seed_addresses(seeds.iter().map(|seed| (*seed).to_owned()).collect())
            .interval_ms(INTERVAL_MS)
            .build(),
    )
}

fn word(address: &str, incarnation: u64, sequence: u64) -> GossipWord {
    GossipWord {
        gossip_address: address.to_owned(),
        incarnation,
        sequence,
        caller_address: format!("caller-of-{address}"),
        serves: true,
        config_revision: sequence,
        ..GossipWord::default()
    }
}

fn message(word: GossipWord, known: &[&str]) -> GossipMessage {
    GossipMessage {
        word: Some(word),
        known_addresses: known.iter().map(|known| (*known).to_owned()).collect(),
        paces: Vec::new(),
    }
}

fn serving(gossip: &EntryGossip, now_ms: u64) -> Vec<String> {
    gossip
        .serving(now_ms)
        .map(|word| word.gossip_address.clone())
        .collect()
}

#[googletest::test]
fn an_entry_finds_others_through_a_seed() {
    let mut gossip = gossip("a", &["b"]);
    expect_that!(gossip.round(0), elements_are![eq("b")]);
    gossip.take(&message(word("b", 1, 1), &["c", "a"]), 10);
    expect_that!(gossip.round(200), elements_are![eq("b"), eq("c")]);
    expect_that!(serving(&gossip, 210), elements_are![eq("b")]);
}

#[googletest::test]
fn a_silent_entry_is_not_named_to_callers() {
    let mut gossip = gossip("a", &["b"]);
    gossip.take(&message(word("b", 1, 1), &[]), 0);
    expect_that!(serving(&gossip, 900), elements_are![eq("b")]);
    expect_that!(serving(&gossip, 1_100), is_empty());
}

#[googletest::test]
fn an_entry_that_leaves_is_not_named_and_its_older_words_do_not_count() {
    let mut gossip = gossip("a", &["b"]);
    gossip.take(&message(word("b", 1, 1), &[]), 0);
    let leaving = GossipWord {
        serves: false,
        ..word("b", 1, 3)
    };
    gossip.take(&message(leaving, &[]), 10);
    gossip.take(&message(word("b", 1, 2), &[]), 20);
    expect_that!(serving(&gossip, 30), is_empty());
}

#[googletest::test]
fn a_restarted_entry_counts_also_after_its_clock_was_set_back() {
    let mut gossip = gossip("a", &["b"]);
    gossip.take(&message(word("b", 100, 9), &[]), 0);
    gossip.take(&message(word("b", 50, 1), &[]), 500);
    expect_that!(
        gossip.live(600).next().map(|word| word.incarnation),
        some(eq(100))
    );
    gossip.take(&message(word("b", 50, 2), &[]), 1_100);
    expect_that!(
        gossip.live(1_200).next().map(|word| word.incarnation),
        some(eq(50))
    );
}

#[googletest::test]
fn a_newer_configuration_is_found_only_at_live_entries() {
    let mut gossip = gossip("a", &["b"]);
    gossip.take(&message(word("b", 1, 7), &[]), 0);
    expect_that!(gossip.newer_config(6, 100), some(anything()));
    expect_that!(gossip.newer_config(7, 100), none());
    expect_that!(gossip.newer_config(6, 2_000), none());
}

#[googletest::test]
fn many_entries_are_told_in_turn() {
    let mut gossip = gossip("a", &[]);
    let names: Vec<String> = (0..40).map(|index| format!("e{index:02}")).collect();
    for name in &names {
        gossip.take(&message(word(name, 1, 1), &[]), 0);
    }
    let mut told: Vec<String> = (0..3).flat_map(|round| gossip.round(round * 10)).collect();
    expect_that!(told.len(), eq(48));
    told.sort();
    told.dedup();
    expect_that!(told, container_eq(names));
}

#[googletest::test]
fn a_slow_endpoint_is_passed_on_by_the_entry_that_its_agent_told() {
    let mut told = gossip("a", &[]);
    let pace = EndpointSlowdown {
        endpoint: 7,
        percent: 500,
    };
    let of_agent = GossipMessage {
        paces: vec![pace],
        ..GossipMessage::default()
    };
    told.take(&of_agent, 100);
    expect_that!(told.paces(300).get(&7), some(eq(&500)));

    let mut other = gossip("b", &[]);
    let word = GossipWord {
        paces: told.own_paces(300),
        ..word("a", 1, 1)
    };
    other.take(&message(word, &[]), 310);
    expect_that!(other.paces(320).get(&7), some(eq(&500)));
    // What was heard from another entry is not passed on again.
    expect_that!(other.own_paces(320), is_empty());
}

#[googletest::test]
fn an_endpoint_that_is_not_told_of_again_takes_the_usual_time() {
    let mut gossip = gossip("a", &[]);
    let of_agent = GossipMessage {
        paces: vec![EndpointSlowdown {
            endpoint: 7,
            percent: 500,
        }],
        ..GossipMessage::default()
    };
    gossip.take(&of_agent, 100);
    expect_that!(gossip.paces(800).get(&7), none());
}
