//! Tests of `--help`, `--version` and unknown arguments.

use std::ffi::OsString;

use googletest::prelude::*;
use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::nearest;
use pomeloramp_lib::unknown_command;

const TEXT: ProgramText = ProgramText {
    name: "program",
    version: "1.2.3",
    help: "Usage: program [--settings FILE] [--json]\n",
};

fn arguments(words: &[&str]) -> Arguments {
    Arguments::from_vec(words.iter().map(OsString::from).collect())
}

#[googletest::test]
fn help_and_version_are_printed() {
    expect_that!(
        TEXT.help_or_version(&mut arguments(&["--help"])),
        some(eq(TEXT.help))
    );
    expect_that!(
        TEXT.help_or_version(&mut arguments(&["-V"])),
        some(eq("program 1.2.3\n"))
    );
    expect_that!(TEXT.help_or_version(&mut arguments(&["--json"])), none());
}

#[googletest::test]
fn remaining_arguments_are_refused_with_the_nearest_flag() {
    let error = TEXT
        .refuse_remaining(arguments(&["--setings"]))
        .unwrap_err();
    expect_that!(
        error.to_string(),
        eq("unknown argument \"--setings\", did you mean --settings?")
    );
    let joined = TEXT
        .refuse_remaining(arguments(&["--settings=x"]))
        .unwrap_err();
    expect_that!(
        joined.to_string(),
        contains_substring("did you mean --settings?")
    );
    let far = TEXT.refuse_remaining(arguments(&["elephant"])).unwrap_err();
    expect_that!(far.to_string(), eq("unknown argument \"elephant\""));
    expect_that!(TEXT.refuse_remaining(arguments(&[])), ok(anything()));
}

#[googletest::test]
fn the_nearest_candidate_is_the_one_with_fewest_edits() {
    expect_that!(
        nearest("statsu", &["idle", "status", "state"]),
        some(eq("status"))
    );
    expect_that!(nearest("x", &["status"]), none());
    expect_that!(
        unknown_command("idel", &["idle", "status"]).to_string(),
        eq("unknown command \"idel\", did you mean idle?")
    );
}
