//! Tests of the plain service stand-in.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_testutils::http::agent;
use pomeloramp_testutils::http::put;
use pomeloramp_testutils::http::try_get;
use pomeloramp_testutils::process::TestProcess;
use serde_json::Value;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(10);

fn start() -> (TestProcess, String) {
    let arguments = ["plain", "--listen", "127.0.0.1:0", "--work-ms", "1"];
    let process = TestProcess::start("pomeloramp-standin", &arguments);
    let base = format!("http://{}", process.wait_for_output("listening"));
    (process, base)
}

fn call(base: &str, key: &str, timeout: Duration) -> Option<Value> {
    let mut response = agent(timeout)
        .post(format!("{base}/calls/commit"))
        .header("pomeloramp-organisation", "cartago")
        .header("idempotency-key", key)
        .send("body")
        .ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

fn executions(base: &str) -> Value {
    try_get(&format!("{base}/admin/executions")).expect("the service answers JSON")["by_key"].take()
}

#[googletest::test]
fn executions_are_counted_by_organisation_and_key() {
    let (_process, base) = start();
    let first = call(&base, "k1", TIMEOUT).unwrap();
    let second = call(&base, "k1", TIMEOUT).unwrap();
    expect_that!(first["call"], eq("commit"));
    expect_that!(first["execution"], eq(1));
    expect_that!(second["execution"], eq(2));
    expect_that!(first["echo"], eq(&second["echo"]));
    expect_that!(executions(&base), eq(&json!({"cartago/k1": 2})));
}

#[googletest::test]
fn faults_lose_the_answer_and_not_the_execution() {
    for mode in ["hang", "drop-answer"] {
        let (_process, base) = start();
        put(
            &format!("{base}/admin/faults"),
            &json!({"mode": mode}).to_string(),
        );
        expect_that!(call(&base, "k", Duration::from_secs(3)), none(), "{mode}");
        expect_that!(executions(&base), eq(&json!({"cartago/k": 1})), "{mode}");
    }
}

#[googletest::test]
fn a_crash_after_the_run_ends_the_process() {
    let (mut process, base) = start();
    put(
        &format!("{base}/admin/faults"),
        r#"{"mode": "crash-after-run"}"#,
    );
    expect_that!(call(&base, "k", TIMEOUT), none());
    expect_that!(process.wait(TIMEOUT), some(eq(false)));
}
