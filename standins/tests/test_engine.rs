//! Tests of the engine stand-in.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use pomeloramp_testutils::http::agent;
use pomeloramp_testutils::http::try_get;
use pomeloramp_testutils::process::TestProcess;
use serde_json::Value;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(10);
const END_MARKER: &str = "data: [DONE]\n\n";

struct Engine {
    process: TestProcess,
    base: String,
}

impl Engine {
    fn start(flags: &[&str]) -> Self {
        let mut arguments = vec!["engine", "--listen", "127.0.0.1:0"];
        arguments.extend(flags);
        let process = TestProcess::start("pomeloramp-standin", &arguments);
        let base = format!("http://{}", process.wait_for_output("listening"));
        Self { process, base }
    }

    fn get(&self, path: &str) -> Value {
        try_get(&format!("{}{path}", self.base)).expect("the engine answers JSON")
    }

    fn post(&self, path: &str, body: &Value) -> u16 {
        let url = format!("{}{path}", self.base);
        let response = agent(TIMEOUT).post(url).send_json(body);
        response.expect("the engine answers").status().as_u16()
    }

    fn complete(&self, request: &Value) -> Option<String> {
        complete(&self.base, request, TIMEOUT)
    }
}

fn complete(base: &str, request: &Value, timeout: Duration) -> Option<String> {
    let url = format!("{base}/v1/completions");
    let mut response = agent(timeout).post(url).send_json(request).ok()?;
    response.body_mut().read_to_string().ok()
}

/// Opens a connection, sends the request of a completion and leaves its answer unread.
fn begin(base: &str, request: &Value) -> TcpStream {
    let address = base.trim_start_matches("http://");
    let body = request.to_string();
    let length = body.len();
    let head = format!("POST /v1/completions HTTP/1.1\r\nhost: {address}\r\n");
    let mut caller = TcpStream::connect(address).expect("the engine listens");
    write!(caller, "{head}content-length: {length}\r\n\r\n{body}").expect("the request is sent");
    caller
}

fn wait_for(mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

#[googletest::test]
fn any_engine_resumes_a_stream_of_another() {
    let first = Engine::start(&["--token-interval-ms", "1"]);
    let second = Engine::start(&["--token-interval-ms", "1"]);
    let whole = first
        .complete(&json!({"prompt": "spring", "max_tokens": 6}))
        .unwrap();
    let rest = second
        .complete(&json!({"prompt": "spring", "max_tokens": 6, "resume_after_token": 4}))
        .unwrap();
    expect_that!(whole.matches("data: {").count(), eq(6));
    expect_that!(whole, ends_with(END_MARKER));
    expect_that!(whole, ends_with(rest.as_str()));
    expect_that!(rest.matches("data: {").count(), eq(2));
}

#[googletest::test]
fn a_gone_caller_cancels_its_generation() {
    let engine = Engine::start(&["--token-interval-ms", "5", "--report-lag-ms", "0"]);
    let endless = json!({"prompt": "p", "max_tokens": 100_000, "request_id": "r"});
    let caller = begin(&engine.base, &endless);
    expect_true!(wait_for(|| engine.get("/load")["running"] == 1));
    drop(caller);
    expect_true!(wait_for(|| engine.get("/load")["running"] == 0));
    expect_that!(engine.get("/admin/executions")["by_request"]["r"], eq(1));
}

#[googletest::test]
fn a_gone_caller_leaves_the_queue() {
    let flags = ["--capacity", "1", "--report-lag-ms", "0"];
    let engine = Engine::start(&flags);
    let endless = json!({"prompt": "p", "max_tokens": 100_000, "request_id": "running"});
    let running = begin(&engine.base, &endless);
    expect_true!(wait_for(|| engine.get("/load")["running"] == 1));
    let queued = begin(
        &engine.base,
        &json!({"prompt": "p", "request_id": "queued"}),
    );
    expect_true!(wait_for(|| engine.get("/load")["queued"] == 1));
    drop(queued);
    expect_true!(wait_for(|| engine.get("/load")["queued"] == 0));
    drop(running);
    expect_true!(wait_for(|| engine.get("/load")["running"] == 0));
    let executions = engine.get("/admin/executions");
    expect_that!(executions["by_request"], eq(&json!({"running": 1})));
}

#[googletest::test]
fn the_most_urgent_request_of_the_queue_runs_first() {
    let engine = Engine::start(&[
        "--capacity",
        "1",
        "--token-interval-ms",
        "1",
        "--report-lag-ms",
        "0",
    ]);
    let endless = json!({"prompt": "p", "max_tokens": 100_000, "request_id": "running"});
    let running = begin(&engine.base, &endless);
    expect_true!(wait_for(|| engine.get("/load")["running"] == 1));
    let mut callers = Vec::new();
    for (earlier, (name, priority)) in [("patient", 1), ("urgent", 9)].into_iter().enumerate() {
        let request = json!({
            "prompt": name,
            "request_id": name,
            "priority": priority,
            "max_tokens": 1,
        });
        let base = engine.base.clone();
        callers.push(thread::spawn(move || complete(&base, &request, TIMEOUT)));
        expect_true!(wait_for(
            || engine.get("/load")["queued"] == earlier as u64 + 1
        ));
    }
    drop(running);
    for caller in callers {
        expect_that!(caller.join().unwrap(), some(ends_with(END_MARKER)));
    }
    let executions = engine.get("/admin/executions");
    expect_that!(
        executions["order"],
        eq(&json!(["running", "urgent", "patient"]))
    );
}

#[googletest::test]
fn load_reports_lag() {
    let engine = Engine::start(&["--token-interval-ms", "20", "--report-lag-ms", "4000"]);
    let caller = begin(&engine.base, &json!({"max_tokens": 100_000}));
    let ran = || engine.get("/admin/executions")["by_request"][""] == 1;
    expect_true!(wait_for(ran));
    expect_that!(engine.get("/load")["running"], eq(0));
    expect_true!(wait_for(|| engine.get("/load")["running"] == 1));
    drop(caller);
}

#[googletest::test]
fn cached_prefixes_are_not_prefilled_again_and_make_room() {
    let engine = Engine::start(&[
        "--prefill-tokens-per-s",
        "25",
        "--token-interval-ms",
        "1",
        "--cache-blocks",
        "3",
        "--cache-event-lag-ms",
        "0",
        "--lose-cache-event-every",
        "2",
    ]);
    let request = json!({"prompt": "a".repeat(128), "max_tokens": 1});
    let begin = Instant::now();
    expect_that!(engine.complete(&request), some(anything()));
    expect_that!(begin.elapsed(), ge(Duration::from_millis(1200)));
    let again = Instant::now();
    expect_that!(engine.complete(&request), some(anything()));
    expect_that!(again.elapsed(), lt(Duration::from_secs(1)));

    let other = json!({"prompt": "b".repeat(128), "max_tokens": 1});
    expect_that!(engine.complete(&other), some(anything()));
    let events = engine.get("/cache-events?after=0");
    let sequences: Vec<u64> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["sequence"].as_u64().unwrap())
        .collect();
    // Four blocks stored and one evicted, every second event lost.
    expect_that!(sequences, eq(&[1, 3, 5]));
    expect_that!(events["events"][2]["kind"], eq("evicted"));
}

#[googletest::test]
fn cache_events_are_late() {
    let engine = Engine::start(&["--cache-event-lag-ms", "4000", "--token-interval-ms", "1"]);
    let request = json!({"prompt": "a".repeat(64), "max_tokens": 1});
    expect_that!(engine.complete(&request), some(anything()));
    expect_that!(engine.get("/cache-events")["events"], eq(&json!([])));
    let has_event = || engine.get("/cache-events")["events"][0]["kind"] == "stored";
    expect_true!(wait_for(has_event));
}

#[googletest::test]
fn fencing_is_checked_only_where_asked_for() {
    let order = |fencing: u64| json!({"kind": "load-model", "fencing": fencing});
    let checks = Engine::start(&["--check-fencing"]);
    expect_that!(checks.post("/orders", &order(5)), eq(200));
    expect_that!(checks.post("/orders", &order(4)), eq(409));
    expect_that!(checks.post("/orders", &order(5)), eq(200));
    let ignores = Engine::start(&[]);
    expect_that!(ignores.post("/orders", &order(5)), eq(200));
    expect_that!(ignores.post("/orders", &order(4)), eq(200));
    expect_that!(
        ignores.get("/admin/orders")["accepted"][1]["fencing"],
        eq(4)
    );
}

#[googletest::test]
fn a_crashing_prompt_ends_the_process() {
    let mut engine = Engine::start(&[]);
    let _ = engine.complete(&json!({"prompt": "now CRASH"}));
    expect_that!(engine.process.wait(TIMEOUT), some(eq(false)));
}

#[googletest::test]
fn malformed_requests_are_refused() {
    let engine = Engine::start(&[]);
    let malformed = json!({"prompt": 5});
    expect_that!(engine.post("/v1/completions", &malformed), eq(400));
}
