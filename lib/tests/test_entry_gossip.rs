//! Tests of the gossip between the entries of the direct path.

use googletest::prelude::*;
use pomeloramp_lib::EntryGossip;
use pomeloramp_lib::GossipSettings;
use pomeloramp_lib::protos::control::EndpointSlowdown;
use pomeloramp_lib::protos::control::GossipMessage;
use pomeloramp_lib::protos::control::GossipReport;

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

fn report(address: &str, incarnation: u64, sequence: u64) -> GossipReport {
    GossipReport {
        gossip_address: address.to_owned(),
        incarnation,
        sequence,
        caller_address: format!("caller-of-{address}"),
        serves: true,
        config_revision: sequence,
        ..GossipReport::default()
    }
}

fn message(report: GossipReport, known_addresses: &[&str]) -> GossipMessage {
    GossipMessage {
        word: Some(report),
        known_addresses: known_addresses
            .iter()
            .map(|address| (*address).to_owned())
            .collect(),
        paces: Vec::new(),
    }
}

fn serving(gossip: &EntryGossip, now_ms: u64) -> Vec<String> {
    gossip
        .serving(now_ms)
        .map(|report| report.gossip_address.clone())
        .collect()
}

#[googletest::test]
fn an_entry_finds_others_through_a_seed() {
    let mut gossip = gossip("a", &["b"]);
    expect_that!(gossip.start_round(0), elements_are![eq("b")]);
    gossip.receive(&message(report("b", 1, 1), &["c", "a"]), 10);
    expect_that!(gossip.start_round(200), elements_are![eq("b"), eq("c")]);
    expect_that!(serving(&gossip, 210), elements_are![eq("b")]);
}

#[googletest::test]
fn a_silent_entry_is_not_named_to_callers() {
    let mut gossip = gossip("a", &["b"]);
    gossip.receive(&message(report("b", 1, 1), &[]), 0);
    expect_that!(serving(&gossip, 900), elements_are![eq("b")]);
    expect_that!(serving(&gossip, 1_100), is_empty());
}

#[googletest::test]
fn an_entry_that_leaves_is_not_named_and_its_older_reports_do_not_count() {
    let mut gossip = gossip("a", &["b"]);
    gossip.receive(&message(report("b", 1, 1), &[]), 0);
    let leaving = GossipReport {
        serves: false,
        ..report("b", 1, 3)
    };
    gossip.receive(&message(leaving, &[]), 10);
    gossip.receive(&message(report("b", 1, 2), &[]), 20);
    expect_that!(serving(&gossip, 30), is_empty());
}

#[googletest::test]
fn a_restarted_entry_counts_also_after_its_clock_was_set_back() {
    let mut gossip = gossip("a", &["b"]);
    gossip.receive(&message(report("b", 100, 9), &[]), 0);
    gossip.receive(&message(report("b", 50, 1), &[]), 500);
    expect_that!(
        gossip.live(600).next().map(|report| report.incarnation),
        some(eq(100))
    );
    gossip.receive(&message(report("b", 50, 2), &[]), 1_100);
    expect_that!(
        gossip.live(1_200).next().map(|report| report.incarnation),
        some(eq(50))
    );
}

#[googletest::test]
fn a_newer_configuration_is_found_only_at_live_entries() {
    let mut gossip = gossip("a", &["b"]);
    gossip.receive(&message(report("b", 1, 7), &[]), 0);
    expect_that!(gossip.newer_config(6, 100), some(anything()));
    expect_that!(gossip.newer_config(7, 100), none());
    expect_that!(gossip.newer_config(6, 2_000), none());
}

#[googletest::test]
fn reports_are_sent_to_many_entries_in_turn() {
    let mut gossip = gossip("a", &[]);
    let names: Vec<String> = (0..40).map(|index| format!("e{index:02}")).collect();
    for name in &names {
        gossip.receive(&message(report(name, 1, 1), &[]), 0);
    }
    let mut targets: Vec<String> = (0..3)
        .flat_map(|round| gossip.start_round(round * 10))
        .collect();
    expect_that!(targets.len(), eq(48));
    targets.sort();
    targets.dedup();
    expect_that!(targets, container_eq(names));
}

#[googletest::test]
fn a_slow_endpoint_is_passed_on_by_the_entry_that_received_the_report_of_its_agent() {
    let mut informed = gossip("a", &[]);
    let slowdown = EndpointSlowdown {
        endpoint: 7,
        percent: 500,
    };
    let agent_message = GossipMessage {
        paces: vec![slowdown],
        ..GossipMessage::default()
    };
    informed.receive(&agent_message, 100);
    expect_that!(informed.slowdowns(300).get(&7), some(eq(&500)));

    let mut other = gossip("b", &[]);
    let report = GossipReport {
        paces: informed.own_slowdowns(300),
        ..report("a", 1, 1)
    };
    other.receive(&message(report, &[]), 310);
    expect_that!(other.slowdowns(320).get(&7), some(eq(&500)));
    // A slowdown that another entry reported is not passed on again.
    expect_that!(other.own_slowdowns(320), is_empty());
}

#[googletest::test]
fn an_endpoint_that_is_not_reported_again_takes_the_usual_time() {
    let mut gossip = gossip("a", &[]);
    let agent_message = GossipMessage {
        paces: vec![EndpointSlowdown {
            endpoint: 7,
            percent: 500,
        }],
        ..GossipMessage::default()
    };
    gossip.receive(&agent_message, 100);
    expect_that!(gossip.slowdowns(800).get(&7), none());
}

#[googletest::test]
fn entries_of_a_large_fleet_never_learnt_of_each_other() {
    let address = |number: usize| format!("entry-{number:02}");
    let count = 40;
    let mut fleet: Vec<_> = (0..count)
        .map(|number| gossip(&address(number), &["entry-00", "entry-01"]))
        .collect();
    for round in 1..=50_u64 {
        let now_ms = round * INTERVAL_MS;
        for number in 0..count {
            let own = report(&address(number), 1, round);
            let known = fleet[number].known_addresses(now_ms);
            let known: Vec<&str> = known.iter().map(String::as_str).collect();
            let sent = message(own, &known);
            for target in fleet[number].start_round(now_ms) {
                let target = (0..count)
                    .find(|number| address(*number) == target)
                    .unwrap();
                fleet[target].receive(&sent, now_ms);
            }
        }
    }
    let now_ms = 50 * INTERVAL_MS;
    for (number, gossip) in fleet.iter().enumerate() {
        let counted = gossip.counted_demands(now_ms).count();
        let expected = if number < 17 { count - 1 } else { 17 };
        expect_that!(counted, eq(expected), "entry {number}");
        expect_that!(
            serving(gossip, now_ms).len(),
            eq(count - 1),
            "entry {number}"
        );
    }
}
