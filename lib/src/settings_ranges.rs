//! Allowed ranges and formats of the settings.

use std::net::SocketAddr;

const DAY_MS: u64 = 24 * 60 * 60 * 1000;
const HOUR_MS: u64 = 60 * 60 * 1000;
const MINUTE_MS: u64 = 60 * 1000;
const MAX_BODY_BYTES: u64 = 64 << 20;
const MAX_RANKS: u64 = 4096;
const MAX_BYTES_PER_S: u64 = 1_000_000_000_000;
const MAX_EXPERT_BYTES: u64 = 1 << 40;
const MIN_PEER_KEY_BYTES: usize = 16;

/// Smallest and largest allowed value of the number at a path.
pub(crate) struct NumberRange {
    path: &'static str,
    pub(crate) min: u64,
    pub(crate) max: u64,
}

const NUMBER_RANGES: [NumberRange; 29] = [
    range("control.heartbeat_interval_ms", 50, MINUTE_MS),
    range("control.heartbeat_bytes_per_s", 100, 1_000_000_000),
    range("control.suspect_after_ms", 100, HOUR_MS),
    range("control.vm_list_interval_ms", 100, HOUR_MS),
    range("control.vm_list_bytes_per_s", 100, 1_000_000_000),
    range("control.watch_wait_ms", 100, HOUR_MS),
    range("control.peer_exchange_interval_ms", 50, MINUTE_MS),
    range("control.config_readers_per_zone", 1, 64),
    range("control.connect_timeout_ms", 10, MINUTE_MS),
    range("control.keepalive_interval_ms", 100, MINUTE_MS),
    range("control.keepalive_timeout_ms", 100, MINUTE_MS),
    range("entry.address_lifetime_ms", 100, HOUR_MS),
    range("entry.max_body_bytes", 1024, MAX_BODY_BYTES),
    range("entry.header_timeout_ms", 100, MINUTE_MS),
    range("entry.default_deadline_ms", 100, HOUR_MS),
    range("entry.max_connections", 1, 1_000_000),
    range("entry.endpoints_per_service", 1, 4096),
    range("entry.retry_budget_percent", 0, 100),
    range("endpoint.capacity", 1, 4096),
    range("endpoint.max_queued_requests", 0, 100_000),
    range("endpoint.answer_window_ms", 1000, DAY_MS),
    range("endpoint.max_call_records", 1, 10_000_000),
    range("endpoint.max_call_records_per_organisation", 1, 10_000_000),
    range("endpoint.max_answer_bytes", 1024, MAX_BODY_BYTES),
    range("endpoint.rank_group.rank", 0, MAX_RANKS - 1),
    range("endpoint.rank_group.lead_steps", 2, 100_000),
    range("endpoint.rank_group.plan_interval_ms", 0, HOUR_MS),
    range(
        "endpoint.rank_group.weight_share_bytes_per_s",
        1,
        MAX_BYTES_PER_S,
    ),
    range("endpoint.rank_group.expert_bytes", 1, MAX_EXPERT_BYTES),
];

/// Rule that a text must follow.
#[derive(Clone, Copy)]
pub(crate) enum TextRule {
    /// Not empty.
    NonEmpty,
    /// An IP address and a port.
    Address,
    /// An IP address and a port, or empty.
    OptionalAddress,
    /// A path that begins with a slash and does not end with one, or empty.
    Path,
    /// A secret of at least [`MIN_PEER_KEY_BYTES`] bytes.
    Secret,
    /// No rule here; the value may be checked elsewhere.
    Any,
}

const fn range(path: &'static str, min: u64, max: u64) -> NumberRange {
    NumberRange { path, min, max }
}

/// Returns the allowed range of the number at `path`.
pub(crate) fn range_of(path: &str) -> Option<&'static NumberRange> {
    NUMBER_RANGES.iter().find(|range| range.path == path)
}

/// Returns the rule of the text at `path`.
pub(crate) fn text_rule(path: &str) -> TextRule {
    match path {
        "vm_name" | "region" | "availability_zone" | "endpoint.service" => TextRule::NonEmpty,
        "peer_address"
        | "platform_address"
        | "entry.caller_address"
        | "endpoint.endpoint_address"
        | "endpoint.rank_group.agent_addresses" => TextRule::Address,
        "entry.metrics_address"
        | "endpoint.metrics_address"
        | "endpoint.rank_group.engine_address" => TextRule::OptionalAddress,
        "endpoint.rank_group.engine_path" => TextRule::Path,
        "peer_key" => TextRule::Secret,
        _ => TextRule::Any,
    }
}

impl TextRule {
    /// Returns a description of the problem if `text` does not follow the rule.
    pub(crate) fn problem(self, text: &str) -> Option<String> {
        match self {
            Self::NonEmpty => text.is_empty().then(|| "must be set".to_owned()),
            Self::OptionalAddress if text.is_empty() => None,
            Self::Address | Self::OptionalAddress => address_problem(text),
            Self::Secret => (text.len() < MIN_PEER_KEY_BYTES)
                .then(|| format!("must have at least {MIN_PEER_KEY_BYTES} bytes")),
            Self::Path => path_problem(text),
            Self::Any => None,
        }
    }
}

fn path_problem(text: &str) -> Option<String> {
    let is_path = text.starts_with('/') && !text.ends_with('/');
    let is_valid = text.is_empty() || is_path;
    (!is_valid).then(|| format!("{text:?} does not begin with a slash and end without one"))
}

fn address_problem(text: &str) -> Option<String> {
    if text.is_empty() {
        return Some("must be set".to_owned());
    }
    match text.parse::<SocketAddr>() {
        Ok(_) => None,
        Err(_) => Some(format!("{text:?} is not an IP address and a port")),
    }
}
