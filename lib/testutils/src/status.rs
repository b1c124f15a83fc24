//! Status of a fleet's processes, read with the command-line tool.

use std::collections::BTreeMap;
use std::process::Command;

use serde_json::Value;

use crate::fleet::Fleet;
use crate::process::binary_path;

const TOOL: &str = "pomelorampctl";

/// Returns the revision in force at each process that answers, by VM name.
///
/// # Panics
///
/// Panics when the tool has not been built.
#[must_use]
pub fn revisions(fleet: &Fleet) -> BTreeMap<String, u64> {
    statuses(fleet)
        .iter()
        .filter_map(|status| {
            let name = status["vm_name"].as_str()?.to_owned();
            Some((name, status["config_revision"].as_u64()?))
        })
        .collect()
}

/// Returns the status of each process that answers.
///
/// # Panics
///
/// Panics when the tool has not been built or prints no JSON.
#[must_use]
pub fn statuses(fleet: &Fleet) -> Vec<Value> {
    run(fleet, "status")
}

/// Runs a command of the tool against every process and returns the rows that it prints as JSON.
///
/// # Panics
///
/// Panics when the tool has not been built or prints no JSON.
#[must_use]
pub fn run(fleet: &Fleet, command: &str) -> Vec<Value> {
    let entries = fleet.entries.iter().map(|entry| &entry.peer_address);
    let agents = fleet
        .endpoints
        .iter()
        .map(|endpoint| &endpoint.peer_address);
    let mut tool = Command::new(binary_path(TOOL));
    tool.arg(command).arg("--json");
    for address in entries.chain(agents) {
        tool.args(["--peer", address]);
    }
    let output = tool.output().expect("the tool runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let parsed: Value = serde_json::from_str(&text)
        .unwrap_or_else(|error| panic!("output of the tool: {error}: {text}"));
    parsed.as_array().cloned().unwrap_or_default()
}
