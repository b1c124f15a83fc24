//! Tests of the JSON format of log records.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::log_line;
use serde_json::Value;
use serde_json::json;

const TIME: Duration = Duration::from_millis(1_234);

fn line(message: &str) -> Value {
    serde_json::from_str(&log_line(TIME, "INFO", "module", message)).unwrap()
}

#[googletest::test]
fn an_event_becomes_its_number_text_and_fields() {
    let parsed =
        line("E0602 call sent again: request_id=7f endpoint=i-1 reason=\"status 503: full\"");
    let expected = json!({
        "time_ms": 1_234,
        "level": "info",
        "event": "E0602",
        "text": "call sent again",
        "request_id": "7f",
        "endpoint": "i-1",
        "reason": "status 503: full",
    });
    expect_that!(parsed, eq(&expected));
}

#[googletest::test]
fn words_that_are_not_fields_are_kept_as_detail() {
    let parsed = line("E0508 plan for an expert map ended: group=g: map 0x1 was \"committed\"");
    expect_that!(parsed["group"], eq(&json!("g")));
    expect_that!(parsed["detail"], eq(&json!("map 0x1 was \"committed\"")));
}

#[googletest::test]
fn other_records_keep_their_message_and_source() {
    let parsed = line("order to the engine: \"x\"\nsecond line");
    expect_that!(parsed["source"], eq(&json!("module")));
    expect_that!(
        parsed["message"],
        eq(&json!("order to the engine: \"x\"\nsecond line"))
    );
    let text = log_line(TIME, "INFO", "module", "a\nb");
    expect_that!(text.lines().count(), eq(1));
}

#[googletest::test]
fn a_detail_named_like_a_field_of_the_line_does_not_replace_it() {
    let parsed = line("E0601 call sent: level=high");
    expect_that!(parsed["level"], eq(&json!("info")));
    expect_that!(parsed["detail"], eq(&json!("level=high")));
}
