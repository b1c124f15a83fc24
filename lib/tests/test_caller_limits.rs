//! Requests that exceed a limit of the callers' interface or are malformed must be refused by the entry
//! and must not reach an endpoint.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::fleet_text::credential;
use pomeloramp_testutils::http;
use serde_json::Value;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_BODY_BYTES: usize = 2_048;

fn start() -> Fleet {
    let entry_settings = [
        "address_lifetime_ms: 1000".to_owned(),
        format!("max_body_bytes: {MAX_BODY_BYTES}"),
        "header_timeout_ms: 500".to_owned(),
        "default_deadline_ms: 30000".to_owned(),
    ];
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(1)
        .entry_settings(entry_settings.to_vec())
        .build();
    Fleet::start(plan)
}

/// Sends `text` and reads until the entry closes the connection.
fn exchange(fleet: &Fleet, text: &str) -> String {
    let entry = &fleet.entries[0].caller_address;
    let mut connection = TcpStream::connect(entry).expect("the entry listens");
    connection
        .set_read_timeout(Some(TIMEOUT))
        .expect("a positive timeout");
    connection
        .write_all(text.as_bytes())
        .expect("the entry reads");
    let mut answer = Vec::new();
    if let Err(error) = connection.read_to_end(&mut answer) {
        assert_that!(error.kind(), eq(ErrorKind::ConnectionReset));
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns a draft request after whose answer the entry closes the connection.
fn draft_request(authorization: &str, length: usize, body: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {authorization}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn check_refusal(answer: &str, status: u16, code: &str) {
    expect_that!(answer, starts_with(format!("HTTP/1.1 {status} ")), "{code}");
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    expect_that!(body["error"]["code"], eq(code), "{answer}");
    expect_that!(body["error"]["outcome"], eq("not-run"), "{answer}");
}

#[googletest::test]
fn oversized_and_malformed_requests_are_refused_and_reach_no_endpoint() {
    let fleet = start();
    let secret = credential(ORGANISATIONS[0]);
    let complete = |body: &str| draft_request(&secret, body.len(), body);

    let oversized = "x".repeat(MAX_BODY_BYTES + 1);
    check_refusal(
        &exchange(&fleet, &complete(&oversized)),
        413,
        "body-too-large",
    );
    let incomplete = draft_request(&secret, 100, "{\"model\":");
    check_refusal(&exchange(&fleet, &incomplete), 408, "body-timeout");
    for malformed in ["", "{", "[]", "{\"model\": 5}", "\u{0}\u{1}"] {
        let answer = exchange(&fleet, &complete(malformed));
        check_refusal(&answer, 400, "request-malformed");
    }
    let body = json!({"model": "quote-draft", "prompt": "hook"}).to_string();
    let unknown_credential = draft_request("nobody's", body.len(), &body);
    check_refusal(
        &exchange(&fleet, &unknown_credential),
        401,
        "credential-unknown",
    );
    let unknown_service = json!({"model": "no-such-model", "prompt": "hook"}).to_string();
    check_refusal(
        &exchange(&fleet, &complete(&unknown_service)),
        404,
        "service-unknown",
    );

    let engine = &fleet.endpoints[0].endpoint_address;
    let executions = http::try_get(&format!("http://{engine}/admin/executions"));
    expect_that!(executions.expect("an answer")["order"], eq(&json!([])));
}

#[googletest::test]
fn an_incomplete_request_head_closes_its_connection_after_the_timeout() {
    let fleet = start();
    let answer = exchange(&fleet, "POST /v1/completions HTTP/1.1\r\nhost: entry\r\n");
    expect_that!(answer, not(starts_with("HTTP/1.1 200")));
    let complete = exchange(
        &fleet,
        "GET /v1/endpoints?service=quote-draft HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n",
    );
    expect_that!(complete, starts_with("HTTP/1.1 200"));
}
