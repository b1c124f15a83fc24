//! Tests of the validation of templates and its messages.

use googletest::prelude::*;
use pomeloramp_lib::check_template;
use proptest::prelude::*;

const GOOD: &str = "\
service: quote-draft
kind: model
repeatable: true
deadline_ms: 30000
rebalance:
  skew_weight: 1.0
  move_weight: 0.5
  horizon_s: 600
  redundant_experts_per_rank: 2
  max_moves_per_plan: 16
organisations:
  - organisation: cartago
    credential_sha256: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
    max_in_flight: 8
    urgency: 5
    share_weight: 3
    idle_weight: 1
  - organisation: heredia
    credential_sha256: 1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
    max_in_flight: 4
    urgency: 0
    share_weight: 1
    idle_weight: 0
";

fn reasons(document: &str) -> Vec<String> {
    match check_template("quote-draft", document.as_bytes()) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

fn reasons_with(old: &str, new: &str) -> Vec<String> {
    assert!(GOOD.contains(old), "{old:?} is part of the template");
    reasons(&GOOD.replacen(old, new, 1))
}

#[googletest::test]
fn a_good_template_is_accepted() {
    assert_that!(reasons(GOOD), is_empty());
}

#[googletest::test]
fn each_fault_is_named_with_its_line_column_and_path() {
    let faults = [
        (
            "urgency: 5",
            "urgency: 10",
            "line 15 column 14: organisations[0].urgency: 10 is not from 0 to 9",
        ),
        (
            "urgency: 0",
            "urgency: 77",
            "line 21 column 14: organisations[1].urgency: 77 is not from 0 to 9",
        ),
        (
            "kind: model",
            "kind: modal",
            r#"line 2 column 7: kind: "modal" is none of ["model", "plain"]"#,
        ),
        (
            "  horizon_s: 600\n",
            "  horizon_s: 0\n",
            "line 8 column 14: rebalance.horizon_s: 0 is not from 1 to 86400",
        ),
        (
            "organisation: heredia",
            "organisation: cartago",
            r#"line 18 column 19: organisations[1].organisation: "cartago" is declared twice"#,
        ),
        (
            "credential_sha256: 1123",
            "credential_sha256: 0123",
            "line 19 column 24: organisations[1].credential_sha256: belongs to another organisation too",
        ),
        (
            "service: quote-draft",
            "service: other",
            r#"line 1 column 10: service: is "other" under the key of "quote-draft""#,
        ),
        (
            "skew_weight: 1.0",
            "skew_weight: .nan",
            "line 6 column 16: rebalance.skew_weight: NaN is not from 0 to 1000000",
        ),
    ];
    for (old, new, reason) in faults {
        expect_that!(reasons_with(old, new), elements_are![eq(reason)]);
    }
    let missing = reasons_with("deadline_ms: 30000\n", "");
    expect_that!(
        missing,
        elements_are![contains_substring("deadline_ms: 0 is not from")]
    );
}

#[googletest::test]
fn unknown_and_mistyped_fields_are_refused_with_their_line() {
    let unknown = reasons_with("urgency: 5", "urgencey: 5");
    expect_that!(unknown, elements_are![contains_substring("urgencey")]);
    expect_that!(unknown, elements_are![starts_with("line 15 ")]);
    let mistyped = reasons_with("max_in_flight: 4", "max_in_flight: many");
    expect_that!(mistyped, elements_are![starts_with("line 20 column 20")]);
    let twice = reasons_with("kind: model", "kind: model\nkind: plain");
    expect_that!(twice, elements_are![contains_substring("duplicate")]);
}

#[googletest::test]
fn every_fault_of_a_document_is_reported_at_once() {
    let document = GOOD
        .replace("urgency: 5", "urgency: 10")
        .replace("kind: model", "kind: x");
    expect_that!(reasons(&document), len(eq(2)));
    let oversized = " ".repeat(1024 * 1024 + 1);
    expect_that!(
        reasons(&oversized),
        elements_are![contains_substring("more than 1048576")]
    );
    expect_that!(check_template("quote-draft", b"\xff\xfe"), err(len(eq(1))));
}

proptest! {
    #[test]
    fn checking_damaged_documents_never_panics_and_is_deterministic(
        at in any::<prop::sample::Index>(),
        len in 0..40_usize,
        replacement in "[ a-z0-9:\\-\\[\\]{}&*!|>'\"#%@,?\n]{0,12}",
    ) {
        let start = at.index(GOOD.len());
        let end = (start + len).min(GOOD.len());
        let mut document = GOOD.to_owned();
        document.replace_range(start..end, &replacement);
        let result = check_template("quote-draft", document.as_bytes());
        if let Err(problems) = &result {
            prop_assert!(!problems.is_empty());
        }
        prop_assert_eq!(check_template("quote-draft", document.as_bytes()), result);
    }
}
