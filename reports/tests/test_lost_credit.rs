//! Tests of the tables and the picture of lost credit.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use googletest::prelude::*;
use pomeloramp_reports::LateStreams;
use pomeloramp_reports::PlayedDay;
use pomeloramp_reports::lost_credit_chart;
use pomeloramp_reports::lost_credit_tables;

const REPORT: &str = r#"{
    "G": 0.5, "parts": [["whole day", 1.0, 0.6]], "unknown": 1,
    "prices": [["machines", 100.0, 0.02], ["probes", 0.0, 0.0]],
    "all": {"name": "all", "n": 110, "in_aim": 40, "late": 50, "refused": 4, "failed": 6, "not_owed": 10, "worth": 0.65},
    "windows": [
        {"name": "0", "n": 60, "in_aim": 40, "late": 10, "refused": 0, "failed": 0, "not_owed": 10, "worth": 0.9},
        {"name": "2", "n": 50, "in_aim": 0, "late": 40, "refused": 4, "failed": 6, "not_owed": 0, "worth": 0.4}
    ]
}"#;
const LOG: &str = r#"
   0.5000 entry-1 {"event":"E0606","elapsed_ms":"400","late_by":"first_event"}
   4.5000 entry-1 {"event":"E0606","elapsed_ms":"2100","late_by":"pause"}
   3.9000 entry-1 {"event":"E0606","elapsed_ms":"1200","late_by":"pause"}
   3.9500 entry-1 {"event":"E0606","elapsed_ms":"900","late_by":"none"}
   3.9600 entry-1 {"event":"E0601","late_by":"pause"}
not a line of a log
"#;

fn directory() -> tempfile::TempDir {
    tempfile::tempdir().unwrap()
}

fn write(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lost-credit"));
    command.args(arguments).output().unwrap()
}

#[googletest::test]
fn credit_is_lost_by_late_refused_and_failed_answers_and_by_prices() {
    let directory = directory();
    let path = write(directory.path(), "day.json", REPORT);
    let log = write(directory.path(), "log.txt", LOG);
    let day = PlayedDay::read(Path::new(&path)).unwrap();
    let late = LateStreams::read(Path::new(&log)).unwrap();
    let tables = lost_credit_tables("day", &day, Some(&late));
    expect_that!(tables, contains_substring("| late answers | 0.250 |"));
    expect_that!(tables, contains_substring("| refused | 0.040 |"));
    expect_that!(tables, contains_substring("| failed | 0.060 |"));
    expect_that!(tables, contains_substring("| price: machines | 0.020 |"));
    expect_that!(tables, not(contains_substring("probes")));
    expect_that!(
        tables,
        contains_substring("| 0 | 60 | 0.100 | 0.000 | 0.000 | 1 | 0 |")
    );
    expect_that!(
        tables,
        contains_substring("| 2 | 50 | 0.400 | 0.080 | 0.120 | 0 | 2 |")
    );
    let chart = lost_credit_chart("day", &day).unwrap();
    expect_that!(chart, contains_substring("day: credit lost"));
}

#[googletest::test]
fn a_report_that_cannot_be_read_is_named_and_nothing_is_printed_or_written() {
    let directory = directory();
    let sound = write(directory.path(), "sound.json", REPORT);
    let broken = write(directory.path(), "broken.json", "{\"G\": 1}");
    let svg = directory.path().join("chart.svg");
    let missing = directory.path().join("missing.json");
    let cases: [Vec<&str>; 5] = [
        vec![&sound, &broken],
        vec![&sound, missing.to_str().unwrap()],
        vec!["--svg", svg.to_str().unwrap(), &broken],
        vec!["--nonsense", &sound],
        vec![],
    ];
    for arguments in cases {
        let output = run(&arguments);
        expect_that!(output.status.code(), some(eq(2)), "{arguments:?}");
        expect_that!(output.stdout.len(), eq(0), "{arguments:?}");
    }
    expect_false!(svg.exists());
    let error = String::from_utf8(run(&[&broken]).stderr).unwrap();
    expect_that!(error, contains_substring("broken.json"));
}

#[googletest::test]
fn tables_are_printed_and_a_picture_is_written() {
    let directory = directory();
    let path = write(directory.path(), "day.json", REPORT);
    let svg = directory.path().join("chart.svg");
    let output = run(&["--svg", svg.to_str().unwrap(), &path]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8(output.stdout).unwrap();
    expect_that!(text, contains_substring("## day: worth 0.500"));
    expect_that!(
        text,
        contains_substring("| 2 | 50 | 0.400 | 0.080 | 0.120 | - | - |")
    );
    expect_that!(fs::read_to_string(svg).unwrap(), contains_substring("<svg"));
}
