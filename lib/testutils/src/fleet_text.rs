//! Settings and templates of a test fleet, as text.

use sha2::Digest;
use sha2::Sha256;

use crate::fleet::ORGANISATIONS;

pub(crate) const DEFAULT_CONTROL: [&str; 10] = [
    "heartbeat_interval_ms: 200",
    "suspect_after_ms: 1000",
    "vm_list_interval_ms: 200",
    "vm_list_bytes_per_s: 1000000",
    "watch_wait_ms: 5000",
    "peer_exchange_interval_ms: 200",
    "config_readers_per_zone: 2",
    "connect_timeout_ms: 500",
    "keepalive_interval_ms: 500",
    "keepalive_timeout_ms: 500",
];
pub(crate) const DEFAULT_ENTRY: [&str; 7] = [
    "address_lifetime_ms: 1000",
    "max_body_bytes: 1048576",
    "header_timeout_ms: 5000",
    "default_deadline_ms: 30000",
    "max_connections: 1024",
    "endpoints_per_service: 16",
    "retry_budget_percent: 20",
];
pub(crate) const DEFAULT_ENDPOINT: [&str; 5] = [
    "capacity: 8",
    "max_queued_requests: 64",
    "answer_window_ms: 600000",
    "max_call_records: 10000",
    "max_answer_bytes: 262144",
];

/// Returns the credential of an organisation.
#[must_use]
pub fn credential(organisation: &str) -> String {
    format!("{organisation}-secret")
}

/// Returns the template of a service that declares the organisations of the fleet.
#[must_use]
pub fn template(service: &str, kind: &str, repeatable: bool) -> String {
    let head = format!(
        "service: {service}\nkind: {kind}\nrepeatable: {repeatable}\ndeadline_ms: 10000\n\
         organisations:\n"
    );
    let organisations = ORGANISATIONS.map(organisation_parameters);
    head + &organisations.concat()
}

fn organisation_parameters(organisation: &str) -> String {
    let digest = hex::encode(Sha256::digest(credential(organisation)));
    format!(
        "  - organisation: {organisation}\n    credential_sha256: {digest}\n    \
         max_in_flight: 64\n    urgency: 5\n    share_weight: 1\n    idle_weight: 1\n"
    )
}

/// Returns the lines as owned strings.
pub(crate) fn lines(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

/// Appends the lines to the settings, indented.
pub(crate) fn push_lines(settings: &mut String, lines: &[String]) {
    for line in lines {
        settings.push_str("  ");
        settings.push_str(line);
        settings.push('\n');
    }
}
