//! Tests of the rank group stand-in.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_testutils::http::agent;
use pomeloramp_testutils::http::put;
use pomeloramp_testutils::http::try_get;
use pomeloramp_testutils::process::TestProcess;
use serde_json::Value;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A group of two ranks that steps when the test asks for it.
struct Group {
    _process: TestProcess,
    base: String,
}

impl Group {
    fn start(flags: &[&str]) -> Self {
        let mut arguments = vec!["rank-group", "--listen", "127.0.0.1:0", "--ranks", "2"];
        arguments.extend(["--step-interval-ms", "0"]);
        arguments.extend(flags);
        let process = TestProcess::start("pomeloramp-standin", &arguments);
        let base = format!("http://{}", process.wait_for_output("listening"));
        Self {
            _process: process,
            base,
        }
    }

    fn get(&self, path: &str) -> Value {
        try_get(&format!("{}{path}", self.base)).expect("the group answers JSON")
    }

    fn put(&self, path: &str, body: &Value) {
        put(&format!("{}{path}", self.base), &body.to_string());
    }

    fn step(&self) {
        self.put("/admin/step", &json!({}));
    }

    fn order(&self, rank: u32, fencing: u64, order: &Value) -> (u16, Value) {
        let url = format!("{}/ranks/{rank}/orders", self.base);
        let body = json!({ "fencing": fencing, "order": order });
        let mut response = agent(TIMEOUT).post(url).send_json(&body).unwrap();
        let text = response.body_mut().read_to_string().unwrap();
        let answer = serde_json::from_str(&text).unwrap();
        (response.status().as_u16(), answer)
    }

    fn maps_of_last_step(&self) -> Vec<Option<u64>> {
        let log = self.get("/admin/steps");
        let steps = log["steps"].as_array().unwrap();
        let maps = steps.last().unwrap()["maps"].as_array().unwrap();
        maps.iter().map(|map| map["map_id"].as_u64()).collect()
    }
}

fn stage(map_id: u64, switch_step: u64) -> Value {
    let replicas = [json!({ "layer": 0, "expert": 1, "rank": 0 })];
    json!({ "kind": "stage", "map_id": map_id, "switch_step": switch_step, "replicas": replicas })
}

#[googletest::test]
fn a_rank_holds_before_the_switch_step_until_the_decision() {
    let group = Group::start(&[]);
    let (status, answer) = group.order(0, 1, &stage(7, 2));
    expect_that!(status, eq(200));
    expect_that!(answer["staged"]["map_id"], eq(&json!(7)));
    for _ in 0..5 {
        group.step();
    }
    // The other rank has no staged map and runs the step with the old one.
    expect_that!(
        group.maps_of_last_step(),
        elements_are![none(), some(eq(&0))]
    );
    expect_that!(group.get("/admin/group")["held_steps"], eq(&json!(1)));
    let (_, answer) = group.order(0, 1, &json!({ "kind": "commit", "map_id": 7 }));
    expect_that!(answer["held"], eq(&json!(false)));
    group.step();
    let log = group.get("/admin/steps");
    expect_that!(log["steps"][2]["maps"][0]["map_id"], eq(&json!(7)));
}

#[googletest::test]
fn an_old_fencing_number_is_refused_where_it_is_checked() {
    for (flags, expected) in [(&["--check-fencing"][..], 409), (&[][..], 200)] {
        let group = Group::start(flags);
        expect_that!(group.order(1, 2, &stage(7, 100)).0, eq(200));
        let release = json!({ "kind": "release", "map_id": 7 });
        expect_that!(group.order(1, 1, &release).0, eq(expected));
        expect_that!(group.order(1, 0, &json!({ "kind": "read" })).0, eq(200));
    }
}

#[googletest::test]
fn a_map_whose_weights_are_missing_is_not_staged() {
    let group = Group::start(&["--require-weights"]);
    let (_, answer) = group.order(0, 1, &stage(7, 100));
    expect_that!(answer["staged"], eq(&Value::Null));
    group.put("/ranks/0/weights/0/1", &json!({}));
    let (_, answer) = group.order(0, 1, &stage(7, 100));
    expect_that!(answer["staged"]["map_id"], eq(&json!(7)));
}

#[googletest::test]
fn a_replaced_rank_forms_the_group_anew_with_the_map_in_use() {
    let group = Group::start(&[]);
    for rank in 0..2 {
        group.order(rank, 1, &stage(7, 1));
        group.order(rank, 1, &json!({ "kind": "commit", "map_id": 7 }));
    }
    group.step();
    group.step();
    group.order(0, 1, &stage(8, 100));
    group.put("/admin/replace", &json!({ "rank": 1 }));
    let state = group.get("/admin/group");
    expect_that!(state["group_incarnation"], eq(&json!(2)));
    expect_that!(state["ranks"][0]["step"], eq(&json!(0)));
    expect_that!(state["ranks"][0]["active_map_id"], eq(&json!(7)));
    expect_that!(state["ranks"][0]["staged"], eq(&Value::Null));
}
