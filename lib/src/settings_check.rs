//! Reads a daemon's settings and merges them into the shipped defaults of its role.

use serde_norway::Mapping;
use serde_norway::Value;

use crate::arguments::nearest;
use crate::daemon_role::DaemonRole;
use crate::protos::settings::DaemonSettings;
use crate::settings_error::SettingsError;
use crate::settings_error::SettingsProblem;
use crate::settings_ranges::range_of;
use crate::settings_ranges::text_rule;
use crate::yaml_location::line_of;
use crate::yaml_location::message_of;

const MIN_HEARTBEATS_BEFORE_SUSPICION: u64 = 2;

/// Reads the settings of `role` from `text`, a YAML mapping that may omit any key that has a
/// default.
///
/// # Errors
///
/// Returns every unknown key, wrong type and out-of-range value, each with its path and line.
pub fn load_settings(role: DaemonRole, text: &str) -> Result<DaemonSettings, SettingsError> {
    let defaults = parse_mapping(role.default_settings())?;
    let given = parse_mapping(text)?;
    let mut checker = SettingsChecker::new(role, text);
    let merged = checker.merge("", &defaults, &given);
    if checker.problems.is_empty() {
        checker.check_values("", &merged);
        checker.check_role(&merged);
        checker.check_suspicion(&merged);
        checker.check_rank_group(&merged);
    }
    checker.finish()?;
    serde_norway::from_value(Value::Mapping(merged)).map_err(|error| {
        SettingsError::from(SettingsProblem {
            path: String::new(),
            line: None,
            reason: error.to_string(),
        })
    })
}

/// Returns the role that the settings in `text` declare.
///
/// # Errors
///
/// Fails when the text is not a YAML mapping, or the role is absent or unknown.
pub fn settings_role(text: &str) -> Result<DaemonRole, SettingsError> {
    let given = parse_mapping(text)?;
    let role = given.get("role").and_then(Value::as_str);
    role.and_then(DaemonRole::from_name).ok_or_else(|| {
        SettingsError::from(SettingsProblem {
            path: "role".to_owned(),
            line: line_of(text, &["role"]),
            reason: "must be \"entry\" or \"endpoint\"".to_owned(),
        })
    })
}

/// Parses a YAML mapping; an empty document is an empty mapping.
fn parse_mapping(text: &str) -> Result<Mapping, SettingsError> {
    match serde_norway::from_str::<Value>(text) {
        Ok(Value::Mapping(mapping)) => Ok(mapping),
        Ok(Value::Null) => Ok(Mapping::new()),
        Ok(_) => Err(SettingsError::from(SettingsProblem {
            path: String::new(),
            line: Some(1),
            reason: "the settings must be a mapping".to_owned(),
        })),
        Err(error) => Err(SettingsError::from(SettingsProblem {
            path: String::new(),
            line: error.location().map(|location| location.line()),
            reason: message_of(&error),
        })),
    }
}

/// Collects the problems of one settings file.
struct SettingsChecker<'a> {
    role: DaemonRole,
    text: &'a str,
    problems: Vec<SettingsProblem>,
}

impl<'a> SettingsChecker<'a> {
    fn new(role: DaemonRole, text: &'a str) -> Self {
        Self {
            role,
            text,
            problems: Vec::new(),
        }
    }

    /// Merges `given` into `defaults`, which contain every valid key.
    fn merge(&mut self, prefix: &str, defaults: &Mapping, given: &Mapping) -> Mapping {
        let mut merged = defaults.clone();
        for (key, value) in given {
            let name = key_name(key);
            let path = join_path(prefix, &name);
            match (defaults.get(key), value) {
                (None, _) => self.add_unknown(&path, &name, defaults),
                (Some(Value::Mapping(inner)), Value::Mapping(given_inner)) => {
                    let inner = self.merge(&path, inner, given_inner);
                    merged.insert(key.clone(), Value::Mapping(inner));
                }
                (Some(default), _) if same_type(default, value) => {
                    merged.insert(key.clone(), value.clone());
                }
                (Some(default), _) => {
                    self.add(&path, format!("must be {}", type_name(default)));
                }
            }
        }
        merged
    }

    fn check_values(&mut self, prefix: &str, values: &Mapping) {
        for (key, value) in values {
            let path = join_path(prefix, &key_name(key));
            match value {
                Value::Mapping(inner) => self.check_values(&path, inner),
                Value::Sequence(items) => self.check_items(&path, items),
                Value::String(text) => self.check_text(&path, text),
                _ => self.check_number(&path, value),
            }
        }
    }

    /// Checks the items of a list, which must be texts that follow the rule of the list.
    fn check_items(&mut self, path: &str, items: &[Value]) {
        for item in items {
            match item {
                Value::String(text) => self.check_text(path, text),
                _ => self.add(path, "must be a list of texts".to_owned()),
            }
        }
    }

    fn check_text(&mut self, path: &str, text: &str) {
        if let Some(reason) = text_rule(path).problem(text) {
            self.add(path, reason);
        }
    }

    fn check_number(&mut self, path: &str, value: &Value) {
        let Some(range) = range_of(path) else {
            return;
        };
        let in_range = value
            .as_u64()
            .is_some_and(|number| (range.min..=range.max).contains(&number));
        if !in_range {
            let value_text = serde_norway::to_string(value).unwrap_or_default();
            let (min, max) = (range.min, range.max);
            self.add(
                path,
                format!("{} is not between {min} and {max}", value_text.trim_end()),
            );
        }
    }

    fn check_role(&mut self, merged: &Mapping) {
        let given = merged.get("role").and_then(Value::as_str);
        if given != Some(self.role.as_str()) {
            let reason = format!("must be {:?} for this process", self.role.as_str());
            self.add("role", reason);
        }
    }

    /// Checks the settings of a rank group against each other.
    fn check_rank_group(&mut self, merged: &Mapping) {
        let group = merged
            .get("endpoint")
            .and_then(|endpoint| endpoint.get("rank_group"));
        let text = |key| group.and_then(|group| group.get(key)?.as_str());
        if text("group").is_none_or(str::is_empty) {
            return;
        }
        if text("engine_address").is_none_or(str::is_empty) {
            let reason = "must be set for a rank of a group".to_owned();
            self.add("endpoint.rank_group.engine_address", reason);
        }
        let addresses = group.and_then(|group| group.get("agent_addresses")?.as_sequence());
        let rank_count = addresses.map_or(0, Vec::len) as u64;
        let rank = group.and_then(|group| group.get("rank")?.as_u64());
        if rank.is_none_or(|rank| rank >= rank_count) {
            let reason = format!(
                "must be less than the number of endpoint.rank_group.agent_addresses, which is \
                 {rank_count}"
            );
            self.add("endpoint.rank_group.rank", reason);
        }
    }

    /// Checks that several heartbeats are sent before an agent is suspected.
    fn check_suspicion(&mut self, merged: &Mapping) {
        let control = merged.get("control");
        let number = |key| control.and_then(|control| control.get(key)?.as_u64());
        let heartbeat_ms = number("heartbeat_interval_ms").unwrap_or_default();
        let suspect_ms = number("suspect_after_ms").unwrap_or_default();
        if suspect_ms < heartbeat_ms.saturating_mul(MIN_HEARTBEATS_BEFORE_SUSPICION) {
            let reason = format!(
                "{suspect_ms} is less than {MIN_HEARTBEATS_BEFORE_SUSPICION} times \
                 control.heartbeat_interval_ms, which is {heartbeat_ms}"
            );
            self.add("control.suspect_after_ms", reason);
        }
    }

    fn add_unknown(&mut self, path: &str, name: &str, defaults: &Mapping) {
        let known_names: Vec<&str> = defaults.keys().filter_map(Value::as_str).collect();
        let reason = match nearest(name, &known_names) {
            Some(suggestion) => format!("unknown key, did you mean {suggestion}?"),
            None => format!("unknown key, expected one of {}", known_names.join(", ")),
        };
        self.add(path, reason);
    }

    fn add(&mut self, path: &str, reason: String) {
        let steps: Vec<&str> = path.split('.').collect();
        self.problems.push(SettingsProblem {
            path: path.to_owned(),
            line: line_of(self.text, &steps),
            reason,
        });
    }

    fn finish(mut self) -> Result<(), SettingsError> {
        if self.problems.is_empty() {
            return Ok(());
        }
        self.problems
            .sort_by_key(|problem| problem.line.unwrap_or(usize::MAX));
        Err(SettingsError {
            problems: self.problems,
        })
    }
}

fn key_name(key: &Value) -> String {
    match key {
        Value::String(name) => name.clone(),
        other => serde_norway::to_string(other)
            .unwrap_or_default()
            .trim_end()
            .to_owned(),
    }
}

fn join_path(prefix: &str, name: &str) -> String {
    if prefix.is_empty() {
        name.to_owned()
    } else {
        format!("{prefix}.{name}")
    }
}

fn same_type(default: &Value, given: &Value) -> bool {
    matches!(
        (default, given),
        (Value::String(_), Value::String(_))
            | (Value::Number(_), Value::Number(_))
            | (Value::Sequence(_), Value::Sequence(_))
    )
}

fn type_name(default: &Value) -> &'static str {
    match default {
        Value::Mapping(_) => "a mapping",
        Value::String(_) => "a text",
        Value::Sequence(_) => "a list",
        _ => "a whole number",
    }
}
