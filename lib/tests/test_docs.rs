//! Tests that the documentation matches the code.

use googletest::prelude::*;
use pomeloramp_lib::DaemonRole;

const CALLERS: &str = include_str!("../../docs/callers.md");
const REFUSAL_CODES: &str = include_str!("../src/refusal_code.rs");

/// Returns the texts of all refusal codes, read from the source.
fn refusal_codes() -> Vec<&'static str> {
    REFUSAL_CODES
        .lines()
        .filter_map(|line| line.split_once(" => \"")?.1.strip_suffix("\","))
        .collect()
}

#[googletest::test]
fn callers_find_every_refusal_code() {
    expect_that!(refusal_codes().len(), ge(10));
    for code in refusal_codes() {
        expect_that!(CALLERS, contains_substring(format!("| `{code}` |")));
    }
}

#[googletest::test]
fn every_shipped_setting_is_explained() {
    for role in [DaemonRole::Entry, DaemonRole::Endpoint] {
        let lines: Vec<&str> = role.default_settings().lines().collect();
        for pair in lines.windows(2) {
            let is_setting = pair[1].contains(": ") && !pair[1].trim().starts_with('#');
            if is_setting {
                expect_that!(pair[0].trim(), starts_with("#"), "{}", pair[1]);
            }
        }
    }
}
