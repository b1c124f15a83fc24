//! Tests of the commands that work on a template file offline.

use std::io::Write;
use std::process::Command;
use std::process::Output;

use googletest::prelude::*;
use serde_json::Value;
use tempfile::NamedTempFile;

const TEMPLATE: &str = "\
service: quote-draft
kind: model
repeatable: true
deadline_ms: 30000
rebalance:
  skew_weight: 1.0
  move_weight: 4.0
  horizon_s: 600
  redundant_experts_per_rank: 1
  max_moves_per_plan: 8
organisations:
  - organisation: resortes-cartago
    credential_sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
    max_in_flight: 64
    urgency: 5
    share_weight: 3
    idle_weight: 1
  - organisation: planners
    credential_sha256: 60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752
    max_in_flight: 8
    urgency: 2
    share_weight: 1
    idle_weight: 1
";

fn file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file
}

fn run(command: &str, text: &str, flags: &[&str]) -> Output {
    let file = file(text);
    Command::new(env!("CARGO_BIN_EXE_pomelorampctl"))
        .arg(command)
        .arg(file.path())
        .args(flags)
        .output()
        .unwrap()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap()
}

#[googletest::test]
fn a_sound_template_is_accepted() {
    let output = run("check", TEMPLATE, &[]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8(output.stdout).unwrap();
    expect_that!(text, ends_with(": accepted\n"));
    let output = run("check", TEMPLATE, &["--service", "quote-draft", "--json"]);
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(json(&output), eq(&Value::Array(Vec::new())));
}

#[googletest::test]
fn each_problem_is_shown_with_its_place() {
    let broken = TEMPLATE
        .replace("urgency: 2", "urgency: 12")
        .replace("kind: model", "kind: modle");
    let output = run("check", &broken, &["--json"]);
    expect_that!(output.status.code(), some(eq(1)));
    let problems = json(&output);
    expect_that!(problems[0]["line"], eq(2));
    expect_that!(problems[0]["path"], eq("kind"));
    expect_that!(problems[1]["line"], eq(21));
    expect_that!(problems[1]["path"], eq("organisations[1].urgency"));
    expect_that!(problems[2], eq(&Value::Null));

    let text = String::from_utf8(run("check", &broken, &[]).stdout).unwrap();
    expect_that!(text, contains_substring(": line 21 column"));
}

#[googletest::test]
fn a_template_under_another_name_and_an_unknown_key_are_refused() {
    let output = run("check", TEMPLATE, &["--service", "order-commit"]);
    expect_that!(output.status.code(), some(eq(1)));
    let unknown = TEMPLATE.replace("  horizon_s", "  horizon");
    let output = run("check", &unknown, &["--json"]);
    expect_that!(output.status.code(), some(eq(1)));
    let problem = &json(&output)[0];
    expect_that!(problem["line"], eq(8));
    let message = problem["message"].as_str().unwrap();
    expect_that!(message, starts_with("rebalance: unknown field `horizon`"));
    expect_that!(message, not(contains_substring("at line")));
}

#[googletest::test]
fn render_works_out_the_shares() {
    let flags = ["--organisation", "resortes-cartago", "--json"];
    let output = run("render", TEMPLATE, &flags);
    expect_that!(output.status.code(), some(eq(0)));
    let rendered = json(&output);
    expect_that!(rendered["share_percent"], eq(75.0));
    expect_that!(rendered["idle_share_percent"], eq(50.0));
    expect_that!(rendered["max_in_flight"], eq(64));
    expect_that!(rendered["move_weight"], eq(4.0));
    let table = run("render", TEMPLATE, &["--organisation", "planners"]);
    let table = String::from_utf8(table.stdout).unwrap();
    expect_that!(table, contains_substring("share_percent"));
}

#[googletest::test]
fn render_refuses_what_check_refuses_and_unknown_organisations() {
    let broken = TEMPLATE.replace("urgency: 2", "urgency: 12");
    let flags = ["--organisation", "planners"];
    let output = run("render", &broken, &flags);
    expect_that!(output.status.code(), some(eq(1)));
    let output = run("render", TEMPLATE, &["--organisation", "planers"]);
    expect_that!(output.status.code(), some(eq(2)));
    let complaint = String::from_utf8(output.stderr).unwrap();
    expect_that!(complaint, contains_substring("resortes-cartago, planners"));
}

#[googletest::test]
fn a_missing_file_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_pomelorampctl"))
        .args(["check", "no-such-file.yaml"])
        .output()
        .unwrap();
    expect_that!(output.status.code(), some(eq(2)));
    let complaint = String::from_utf8(output.stderr).unwrap();
    expect_that!(complaint, contains_substring("no-such-file.yaml"));
}
