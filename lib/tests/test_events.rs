//! Tests of the numbered log events and their catalogue.

use std::fs;
use std::path::Path;

use googletest::prelude::*;
use pomeloramp_lib::Event;

const CATALOGUE: &str = include_str!("../../docs/events.md");

fn row(event: Event) -> String {
    format!(
        "| {event} | {} | {} | {} |",
        event.level().as_str().to_lowercase(),
        event.name(),
        event.text()
    )
}

#[googletest::test]
fn catalogue_and_code_agree() {
    let listed: Vec<String> = CATALOGUE
        .lines()
        .filter(|line| line.starts_with("| E"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            format!("| {} |", cells[1..5].join(" | "))
        })
        .collect();
    let declared: Vec<String> = Event::ALL.iter().copied().map(row).collect();
    expect_that!(listed, container_eq(declared));
}

#[googletest::test]
fn every_event_has_instructions_for_operators() {
    for line in CATALOGUE.lines().filter(|line| line.starts_with("| E")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        expect_that!(cells.len(), eq(7), "{line}");
        expect_that!(cells[5], not(eq("")), "{line}");
    }
}

#[googletest::test]
fn numbers_rise_without_repeats() {
    for pair in Event::ALL.windows(2) {
        expect_that!(pair[0].number(), lt(pair[1].number()));
    }
    expect_that!(Event::EntryStarted.to_string(), eq("E0001"));
}

/// Returns the concatenated Rust sources of a directory.
fn sources(directory: &str) -> String {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join(directory);
    fs::read_dir(directory)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .map(|path| fs::read_to_string(path).unwrap())
        .collect()
}

#[googletest::test]
fn every_event_is_logged_somewhere() {
    let text = sources("src") + &sources("../daemon/src") + &sources("../platform/src");
    let packed: String = text.split_whitespace().collect();
    for event in Event::ALL {
        let is_logged = [",", ")"]
            .iter()
            .any(|end| packed.contains(&format!("event!({}{end}", event.name())));
        expect_true!(is_logged, "{}", event.name());
    }
}
