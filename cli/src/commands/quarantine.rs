//! Shows the content that is refused because it crashed endpoints.

use std::collections::BTreeMap;

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_proc_macros::document;

use crate::ctl_error::CtlError;
use crate::peer_report::report_peers;
use crate::report::Report;
use crate::table::Table;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl quarantine",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Shows the content that is refused because it crashed endpoints.

Usage: pomelorampctl quarantine --peer IP:PORT... [--timeout-ms MS] [--json]

Options:
  --peer IP:PORT   peer address of a process; may be given several times
  --timeout-ms MS  longest wait for one process, 2000 by default
  --json           print JSON in place of a table
  -h, --help       print this text
  -V, --version    print the version
",
};

/// One digest of content, as all asked processes know it.
#[document]
#[derive(Default)]
struct QuarantineRow {
    /// Hexadecimal digits.
    fingerprint: String,
    /// Most crashes that any process counts.
    crashes: u32,
    /// Longest time that any process still refuses it.
    expires_in_ms: u64,
    /// Processes that refuse it.
    processes: usize,
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> Result<Report, CtlError> {
    report_peers(arguments, &TEXT, merged, table).await
}

fn merged(statuses: &[StatusReply]) -> Vec<QuarantineRow> {
    let mut by_fingerprint: BTreeMap<u64, QuarantineRow> = BTreeMap::new();
    for entry in statuses.iter().flat_map(|status| &status.quarantined) {
        let row = by_fingerprint.entry(entry.fingerprint).or_default();
        row.fingerprint = format!("{:016x}", entry.fingerprint);
        row.crashes = row.crashes.max(entry.crashes);
        row.expires_in_ms = row.expires_in_ms.max(entry.expires_in_ms);
        row.processes += 1;
    }
    by_fingerprint.into_values().collect()
}

fn table(rows: &[QuarantineRow]) -> Table {
    let mut table = Table::new(&["FINGERPRINT", "CRASHES", "EXPIRES IN MS", "PROCESSES"]);
    for row in rows {
        table.push([
            row.fingerprint.clone(),
            row.crashes.to_string(),
            row.expires_in_ms.to_string(),
            row.processes.to_string(),
        ]);
    }
    table
}
