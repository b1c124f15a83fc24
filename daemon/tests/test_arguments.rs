//! Tests of the daemon's arguments.

use std::fs;
use std::process::Command;
use std::process::Output;

use googletest::prelude::*;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pomelorampd"))
        .args(arguments)
        .output()
        .expect("the daemon starts")
}

fn refusal(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert_that!(output.status.code(), some(eq(2)));
    String::from_utf8(output.stderr).expect("text")
}

#[googletest::test]
fn help_and_version_are_printed() {
    for (argument, text) in [
        ("--help", "Usage: pomelorampd --settings FILE"),
        ("--version", "pomelorampd 0."),
    ] {
        let output = run(&[argument]);
        expect_that!(output.status.code(), some(eq(0)));
        let shown = String::from_utf8(output.stdout).expect("text");
        expect_that!(shown, contains_substring(text));
    }
}

#[googletest::test]
fn unknown_arguments_are_refused_with_a_hint() {
    let hint = contains_substring;
    expect_that!(
        refusal(&["--setings", "x"]),
        hint("did you mean --settings?")
    );
    expect_that!(refusal(&[]), hint("--settings"));
}

#[googletest::test]
fn settings_that_are_missing_or_wrong_are_refused_with_their_place() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("entry.yaml");
    let shown = path.to_str().expect("a text path");
    expect_that!(
        refusal(&["--settings", shown]),
        contains_substring("entry.yaml")
    );
    let text = "role: entry\nvm_name: entry-1\nentry:\n  max_conections: 5\n";
    fs::write(&path, text).expect("the file is written");
    expect_that!(
        refusal(&["--settings", shown]),
        contains_substring("entry.max_conections")
    );
}
