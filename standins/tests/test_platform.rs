//! Tests of the platform stand-in.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use pomeloramp_testutils::http::agent;
use pomeloramp_testutils::http::put;
use pomeloramp_testutils::http::try_get;
use pomeloramp_testutils::process::TestProcess;
use serde_json::Value;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(10);

struct Platform {
    _process: TestProcess,
    base: String,
}

impl Platform {
    fn start(flags: &[&str]) -> Self {
        let mut arguments = vec!["platform", "--listen", "127.0.0.1:0"];
        arguments.extend(flags);
        let process = TestProcess::start("pomeloramp-standin", &arguments);
        let base = format!("http://{}", process.wait_for_output("listening"));
        Self {
            _process: process,
            base,
        }
    }

    fn get(&self, path: &str) -> Value {
        try_get(&format!("{}{path}", self.base)).expect("the platform answers JSON")
    }

    fn put(&self, path: &str, body: &str) {
        put(&format!("{}{path}", self.base), body);
    }

    fn status(&self, path: &str) -> u16 {
        let response = agent(TIMEOUT).get(format!("{}{path}", self.base)).call();
        response.expect("the platform answers").status().as_u16()
    }
}

#[googletest::test]
fn values_carry_the_revision_of_their_change() {
    let platform = Platform::start(&[]);
    platform.put("/admin/config/services/a", "one");
    platform.put("/admin/config/services/b", "two");
    platform.put("/admin/config/services/a", "three");
    expect_that!(
        platform.get("/config/values"),
        eq(&json!({
            "revision": 3,
            "values": [
                {"key": "services/a", "revision": 3, "value": "three"},
                {"key": "services/b", "revision": 2, "value": "two"},
            ],
        }))
    );
    platform.put("/admin/config/services/a", "");
    expect_that!(
        platform.get("/config/watch?after=3&wait_ms=0"),
        eq(&json!({
            "revision": 4,
            "values": [{"key": "services/a", "revision": 4, "value": ""}],
        }))
    );
}

#[googletest::test]
fn a_watch_ends_with_the_change_or_empty_after_its_wait() {
    let platform = Platform::start(&[]);
    let begin = Instant::now();
    let empty = platform.get("/config/watch?after=0&wait_ms=150");
    expect_that!(begin.elapsed(), ge(Duration::from_millis(150)));
    expect_that!(empty["values"], eq(&json!([])));

    let base = platform.base.clone();
    let watcher =
        thread::spawn(move || try_get(&format!("{base}/config/watch?after=0&wait_ms=8000")));
    thread::sleep(Duration::from_millis(100));
    platform.put("/admin/config/k", "v");
    let changed = watcher.join().unwrap().unwrap();
    expect_that!(changed["values"][0]["value"], eq("v"));
    expect_that!(begin.elapsed(), lt(Duration::from_secs(5)));
}

#[googletest::test]
fn calls_over_the_limit_are_refused_and_a_watch_counts_once() {
    let platform = Platform::start(&["--call-limit-per-s", "1"]);
    let statuses: Vec<u16> = (0..8).map(|_| platform.status("/config/values")).collect();
    expect_that!(
        statuses.iter().filter(|status| **status == 429).count(),
        ge(1)
    );
    thread::sleep(Duration::from_millis(1100));
    expect_that!(
        platform.status("/config/watch?after=0&wait_ms=300"),
        eq(200)
    );
    let counts = platform.get("/admin/calls");
    expect_that!(counts["config_watches"], eq(1));
    expect_that!(counts["config_values"], eq(8));
}

#[googletest::test]
fn values_over_one_megabyte_are_refused() {
    let platform = Platform::start(&[]);
    platform.put("/admin/config/k", &"x".repeat(1 << 20));
    let url = format!("{}/admin/config/k", platform.base);
    let refused = agent(TIMEOUT).put(url).send("x".repeat((1 << 20) + 1));
    expect_that!(refused.unwrap().status().as_u16(), eq(413));
    expect_that!(platform.get("/config/values")["revision"], eq(1));
}

#[googletest::test]
fn a_stale_service_shows_the_moment_of_the_fault_and_a_down_one_fails() {
    let platform = Platform::start(&[]);
    platform.put("/admin/config/k", "old");
    platform.put("/admin/faults", r#"{"config": "stale"}"#);
    platform.put("/admin/config/k", "new");
    expect_that!(
        platform.get("/config/values")["values"][0]["value"],
        eq("old")
    );
    platform.put("/admin/faults", r#"{"config": "down", "vm_list": "down"}"#);
    expect_that!(platform.status("/config/values"), eq(503));
    expect_that!(platform.status("/vms"), eq(503));
    platform.put("/admin/faults", r#"{"config": "none"}"#);
    expect_that!(
        platform.get("/config/values")["values"][0]["value"],
        eq("new")
    );
}

#[googletest::test]
fn the_vm_list_lags() {
    let platform = Platform::start(&["--vm-list-lag-ms", "4000"]);
    platform.put("/admin/vms", r#"{"vms": [{"vm_name": "entry-1"}]}"#);
    expect_that!(platform.get("/vms")["vms"], eq(&json!([])));
    thread::sleep(Duration::from_millis(4100));
    expect_that!(platform.get("/vms")["vms"][0]["vm_name"], eq("entry-1"));
}

#[googletest::test]
fn weights_come_at_the_rate_of_the_store() {
    let flags = ["--weight-bytes", "65536", "--weight-bytes-per-s", "262144"];
    let platform = Platform::start(&flags);
    let begin = Instant::now();
    let url = format!("{}/weights/expert-7", platform.base);
    let mut response = agent(TIMEOUT).get(url).call().unwrap();
    let bytes = response.body_mut().read_to_vec().unwrap();
    expect_that!(bytes.len(), eq(65536));
    expect_that!(begin.elapsed(), ge(Duration::from_millis(245)));
}
