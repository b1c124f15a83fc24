//! Tests of settings: merging with the shipped defaults, and checks.

use googletest::prelude::*;
use pomeloramp_lib::DaemonRole;
use pomeloramp_lib::SettingsProblem;
use pomeloramp_lib::load_settings;
use pomeloramp_lib::settings_role;
use serde_norway::Mapping;
use serde_norway::Value;

const ENTRY: &str = "\
role: entry
vm_name: entry-1
region: cr-central
availability_zone: heredia
peer_address: 127.0.0.1:7001
platform_address: 127.0.0.1:7000
peer_key: sixteen-bytes-or-more
entry:
  caller_address: 127.0.0.1:8001
";

const ENDPOINT: &str = "\
role: endpoint
vm_name: endpoint-1
region: cr-central
availability_zone: heredia
peer_address: 127.0.0.1:7002
platform_address: 127.0.0.1:7000
peer_key: sixteen-bytes-or-more
endpoint:
  service: quote-draft
  endpoint_address: 127.0.0.1:9001
";

fn problems(role: DaemonRole, text: &str) -> Vec<SettingsProblem> {
    load_settings(role, text).map_or_else(|error| error.problems, |_| Vec::new())
}

fn entry_problems(replaced: &str, by: &str) -> Vec<String> {
    let text = ENTRY.replace(replaced, by);
    assert_that!(text, not(eq(ENTRY)));
    problems(DaemonRole::Entry, &text)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[googletest::test]
fn absent_keys_take_the_shipped_defaults() {
    let entry = load_settings(DaemonRole::Entry, ENTRY).unwrap();
    let control = entry.control.unwrap();
    expect_that!(control.heartbeat_interval_ms, eq(500));
    expect_that!(control.config_readers_per_zone, eq(2));
    expect_that!(entry.entry.unwrap().max_body_bytes, eq(1 << 20));
    expect_that!(entry.endpoint, none());

    let endpoint = load_settings(DaemonRole::Endpoint, ENDPOINT).unwrap();
    expect_that!(endpoint.endpoint.unwrap().answer_window_ms, eq(600_000));
    expect_that!(endpoint.entry, none());
}

#[googletest::test]
fn given_keys_override_one_default_and_leave_the_others() {
    let text = format!("{ENTRY}control:\n  watch_wait_ms: 1500\n");
    let control = load_settings(DaemonRole::Entry, &text)
        .unwrap()
        .control
        .unwrap();
    expect_that!(control.watch_wait_ms, eq(1500));
    expect_that!(control.suspect_after_ms, eq(2000));
}

#[googletest::test]
fn unknown_keys_are_refused_with_path_line_and_nearest_key() {
    let nested = entry_problems(
        "  caller_address:",
        "  max_body_byte: 5000\n  caller_address:",
    );
    expect_that!(
        nested,
        elements_are![eq(
            "line 9: entry.max_body_byte: unknown key, did you mean max_body_bytes?"
        )]
    );
    let section = entry_problems("entry:\n", "endpoint:\n  capacity: 3\nentry:\n");
    expect_that!(section.len(), eq(1));
    expect_that!(section[0], starts_with("line 9: endpoint: unknown key"));
}

#[googletest::test]
fn values_out_of_range_are_refused_with_path_line_and_range() {
    let text = format!("{ENTRY}  max_connections: 0\n  retry_budget_percent: -1\n");
    let messages: Vec<String> = problems(DaemonRole::Entry, &text)
        .iter()
        .map(ToString::to_string)
        .collect();
    expect_that!(
        messages,
        elements_are![
            eq("line 10: entry.max_connections: 0 is not between 1 and 1000000"),
            eq("line 11: entry.retry_budget_percent: -1 is not between 0 and 100"),
        ]
    );
}

#[googletest::test]
fn values_of_another_type_are_refused() {
    expect_that!(
        entry_problems("vm_name: entry-1", "vm_name: 7"),
        elements_are![eq("line 2: vm_name: must be a text")]
    );
    expect_that!(
        entry_problems("entry:\n  caller_address: 127.0.0.1:8001", "entry: 5"),
        elements_are![eq("line 8: entry: must be a mapping")]
    );
    expect_that!(
        entry_problems("entry:\n", "control:\n  watch_wait_ms: soon\nentry:\n"),
        elements_are![eq("line 9: control.watch_wait_ms: must be a whole number")]
    );
    expect_that!(
        entry_problems("entry:\n", "control:\n  watch_wait_ms: 1500.5\nentry:\n"),
        elements_are![eq(
            "line 9: control.watch_wait_ms: 1500.5 is not between 100 and 3600000"
        )]
    );
}

#[googletest::test]
fn a_missing_required_text_is_reported_without_a_line() {
    expect_that!(
        entry_problems("vm_name: entry-1\n", ""),
        elements_are![eq("vm_name: must be set")]
    );
}

#[googletest::test]
fn host_names_and_short_keys_are_refused() {
    expect_that!(
        entry_problems("127.0.0.1:7000", "platform.local:7000"),
        elements_are![eq(
            "line 6: platform_address: \"platform.local:7000\" is not an IP address and a port"
        )]
    );
    expect_that!(
        entry_problems("sixteen-bytes-or-more", "short"),
        elements_are![eq("line 7: peer_key: must have at least 16 bytes")]
    );
}

#[googletest::test]
fn suspicion_needs_two_heartbeats() {
    let text = format!("{ENTRY}control:\n  heartbeat_interval_ms: 1500\n");
    expect_that!(
        problems(DaemonRole::Entry, &text),
        elements_are![all!(
            field!(SettingsProblem.path, eq("control.suspect_after_ms")),
            field!(SettingsProblem.line, none()),
        )]
    );
}

#[googletest::test]
fn malformed_yaml_is_refused_with_its_line() {
    let found = problems(DaemonRole::Entry, "role: entry\nvm_name: [\n");
    expect_that!(found.len(), eq(1));
    expect_that!(found[0].line, some(ge(2)));
    expect_that!(found[0].reason, not(contains_substring("at line")));
    let twice = problems(DaemonRole::Entry, "role: entry\nrole: entry\n");
    expect_that!(twice[0].reason, contains_substring("duplicate"));
}

#[googletest::test]
fn the_role_of_a_file_must_be_that_of_the_process() {
    expect_that!(settings_role(ENDPOINT), ok(eq(&DaemonRole::Endpoint)));
    expect_that!(settings_role("vm_name: x\n"), err(anything()));
    expect_that!(
        entry_problems("role: entry", "role: endpoint"),
        elements_are![eq("line 1: role: must be \"entry\" for this process")]
    );
}

/// Returns the paths of all numbers in a mapping, each as a list of keys.
fn number_paths(mapping: &Mapping) -> Vec<Vec<Value>> {
    let mut paths = Vec::new();
    for (key, value) in mapping {
        if value.is_number() {
            paths.push(vec![key.clone()]);
        }
        for mut path in value.as_mapping().map(number_paths).unwrap_or_default() {
            path.insert(0, key.clone());
            paths.push(path);
        }
    }
    paths
}

/// Sets the value at a path, and creates missing mappings along it.
fn set(mapping: &mut Mapping, path: &[Value], value: Value) {
    let [key, rest @ ..] = path else {
        return;
    };
    if rest.is_empty() {
        mapping.insert(key.clone(), value);
        return;
    }
    let inner = mapping
        .entry(key.clone())
        .or_insert(Value::Mapping(Mapping::new()));
    set(inner.as_mapping_mut().unwrap(), rest, value);
}

/// Guards against a new numeric setting for which no range was declared.
#[googletest::test]
fn every_number_of_the_shipped_defaults_has_a_range() {
    for (role, base) in [(DaemonRole::Entry, ENTRY), (DaemonRole::Endpoint, ENDPOINT)] {
        let defaults: Mapping = serde_norway::from_str(role.default_settings()).unwrap();
        let paths = number_paths(&defaults);
        expect_that!(paths.len(), gt(10));
        for path in paths {
            let mut settings: Mapping = serde_norway::from_str(base).unwrap();
            set(&mut settings, &path, Value::from(u64::MAX));
            let text = serde_norway::to_string(&settings).unwrap();
            let found = problems(role, &text);
            expect_that!(
                found,
                contains(field!(
                    SettingsProblem.reason,
                    contains_substring("is not between")
                )),
                "{path:?}"
            );
        }
    }
}

fn rank_group_problems(lines: &str) -> Vec<String> {
    let text = format!("{ENDPOINT}  rank_group:\n    group: drafts\n{lines}");
    problems(DaemonRole::Endpoint, &text)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[googletest::test]
fn a_rank_group_needs_an_engine_and_an_agent_for_every_rank() {
    let whole = "    rank: 1\n    engine_address: 127.0.0.1:9001\n    agent_addresses:\n      \
                 - 127.0.0.1:1\n      - 127.0.0.1:2\n";
    expect_that!(rank_group_problems(whole), is_empty());
    expect_that!(
        rank_group_problems("    rank: 1\n    agent_addresses: [\"127.0.0.1:1\"]\n"),
        elements_are![
            contains_substring("endpoint.rank_group.rank: must be less than"),
            contains_substring("engine_address: must be set for a rank of a group"),
        ]
    );
    expect_that!(
        rank_group_problems(&whole.replace("127.0.0.1:2", "agent-2")),
        elements_are![contains_substring("is not an IP address and a port")]
    );
    expect_that!(
        rank_group_problems(&whole.replace("- 127.0.0.1:2", "- 2")),
        elements_are![contains_substring("must be a list of texts")]
    );
    expect_that!(
        rank_group_problems(&format!("{whole}    engine_path: ranks/1/\n")),
        elements_are![contains_substring("does not begin with a slash")]
    );
}
