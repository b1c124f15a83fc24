//! Tests of help, version and refused arguments of the tool.

use std::process::Command;
use std::process::Output;

use googletest::prelude::*;

const COMMANDS: [&str; 9] = [
    "check",
    "render",
    "status",
    "members",
    "revisions",
    "draining",
    "quarantine",
    "idle",
    "ranks",
];

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pomelorampctl"))
        .args(arguments)
        .output()
        .unwrap()
}

fn shown(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert_that!(output.status.code(), some(eq(0)));
    String::from_utf8(output.stdout).unwrap()
}

fn complaint(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert_that!(output.status.code(), some(eq(2)));
    assert_that!(output.stdout, is_empty());
    String::from_utf8(output.stderr).unwrap()
}

#[googletest::test]
fn help_and_version_are_printed() {
    expect_that!(shown(&["--help"]), contains_substring("Exit codes"));
    expect_that!(shown(&["--version"]), starts_with("pomelorampctl 0."));
}

#[googletest::test]
fn the_help_lists_every_command_and_each_has_a_help_of_its_own() {
    let help = shown(&["--help"]);
    let listed: Vec<&str> = help
        .lines()
        .skip_while(|line| *line != "Commands:")
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    expect_that!(listed, container_eq(COMMANDS));
    for command in COMMANDS {
        let usage = format!("Usage: pomelorampctl {command}");
        expect_that!(shown(&[command, "--help"]), contains_substring(usage));
    }
}

#[googletest::test]
fn unknown_arguments_are_refused_with_a_hint() {
    let hint = contains_substring;
    expect_that!(complaint(&["statsu"]), hint("did you mean status?"));
    expect_that!(
        complaint(&["status", "--peers", "127.0.0.1:1"]),
        hint("did you mean --peer?")
    );
    expect_that!(
        complaint(&["status", "--peer", "127.0.0.1:1", "--jsno"]),
        hint("did you mean --json?")
    );
    expect_that!(complaint(&["--versoin"]), hint("--version?"));
}

#[googletest::test]
fn missing_and_malformed_values_are_refused() {
    expect_that!(complaint(&[]), contains_substring("no command"));
    expect_that!(complaint(&["status"]), contains_substring("--peer"));
    expect_that!(
        complaint(&["status", "--peer", "localhost:1"]),
        contains_substring("localhost:1")
    );
    expect_that!(complaint(&["check"]), contains_substring("FILE"));
    expect_that!(complaint(&["render"]), contains_substring("FILE"));
}
