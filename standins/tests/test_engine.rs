//! Tests of the engine stand-in.

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
        let base = format!("http://{}", process.announced("listening"));
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
    let cut = complete(&engine.base, &endless, Duration::from_millis(200));
    expect_that!(cut, none());
    expect_true!(wait_for(|| engine.get("/load")["running"] == 0));
    expect_that!(engine.get("/admin/executions")["by_request"]["r"], eq(1));
}

#[googletest::test]
fn a_gone_caller_leaves_the_queue() {
    let flags = ["--capacity", "1", "--report-lag-ms", "0"];
    let engine = Engine::start(&flags);
    let base = engine.base.clone();
    let endless = json!({"prompt": "p", "max_tokens": 100_000, "request_id": "running"});
    let running = thread::spawn(move || complete(&base, &endless, Duration::from_secs(1)));
    expect_true!(wait_for(|| engine.get("/load")["running"] == 1));
    let queued = json!({"prompt": "p", "request_id": "queued"});
    expect_that!(
        complete(&engine.base, &queued, Duration::from_millis(200)),
        none()
    );
    expect_true!(wait_for(|| engine.get("/load")["queued"] == 0));
    expect_that!(running.join().unwrap(), none());
    expect_true!(wait_for(|| engine.get("/load")["running"] == 0));
    let executions = engine.get("/admin/executions");
    expect_that!(executions, eq(&json!({"by_request": {"running": 1}})));
}

#[googletest::test]
fn the_most_urgent_request_of_the_queue_runs_first() {
    let engine = Engine::start(&[
        "--capacity",
        "1",
        "--token-interval-ms",
        "20",
        "--report-lag-ms",
        "0",
    ]);
    let requests = [("running", 0, 20), ("patient", 1, 20), ("urgent", 9, 1)];
    let mut callers = Vec::new();
    for (queued, (name, priority, max_tokens)) in requests.into_iter().enumerate() {
        let request = json!({
            "prompt": name,
            "request_id": name,
            "priority": priority,
            "max_tokens": max_tokens,
        });
        let base = engine.base.clone();
        callers.push(thread::spawn(move || complete(&base, &request, TIMEOUT)));
        let load = |engine: &Engine| {
            let load = engine.get("/load");
            load["running"].as_u64().unwrap() + load["queued"].as_u64().unwrap()
        };
        expect_true!(wait_for(|| load(&engine) == queued as u64 + 1));
    }
    let urgent_ran = || engine.get("/admin/executions")["by_request"]["urgent"] == 1;
    expect_true!(wait_for(urgent_ran));
    let patient = &engine.get("/admin/executions")["by_request"]["patient"];
    expect_that!(patient, eq(&Value::Null));
    for caller in callers {
        expect_that!(caller.join().unwrap(), some(ends_with(END_MARKER)));
    }
}

#[googletest::test]
fn load_reports_lag() {
    let engine = Engine::start(&["--token-interval-ms", "20", "--report-lag-ms", "1000"]);
    let base = engine.base.clone();
    let caller = thread::spawn(move || complete(&base, &json!({"max_tokens": 80}), TIMEOUT));
    let ran = || engine.get("/admin/executions")["by_request"][""] == 1;
    expect_true!(wait_for(ran));
    expect_that!(engine.get("/load")["running"], eq(0));
    expect_true!(wait_for(|| engine.get("/load")["running"] == 1));
    expect_that!(caller.join().unwrap(), some(ends_with(END_MARKER)));
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
    let engine = Engine::start(&["--cache-event-lag-ms", "1000", "--token-interval-ms", "1"]);
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
