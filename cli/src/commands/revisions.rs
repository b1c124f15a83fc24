//! Shows the documents in force and the refused ones.

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_proc_macros::document;

use crate::ctl_error::CtlError;
use crate::peer_report::report_peers;
use crate::report::Report;
use crate::table::Table;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl revisions",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Shows the documents in force and the refused ones, per process.

Usage: pomelorampctl revisions --peer IP:PORT... [--timeout-ms MS] [--json]

Options:
  --peer IP:PORT   peer address of a process; may be given several times
  --timeout-ms MS  longest wait for one process, 2000 by default
  --json           print JSON in place of a table
  -h, --help       print this text
  -V, --version    print the version
",
};

const IN_FORCE: &str = "in force";
const REFUSED: &str = "refused";

/// One document at one process.
#[document]
struct RevisionRow {
    vm_name: String,
    /// Newest revision that the process has seen.
    config_revision: u64,
    document: String,
    revision: u64,
    /// "in force" or "refused".
    state: String,
    /// Why the document was refused, else empty.
    reason: String,
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> Result<Report, CtlError> {
    report_peers(arguments, &TEXT, rows_of, table).await
}

fn rows_of(statuses: &[StatusReply]) -> Vec<RevisionRow> {
    statuses.iter().flat_map(rows_of_process).collect()
}

fn rows_of_process(status: &StatusReply) -> Vec<RevisionRow> {
    let in_force = status
        .documents
        .iter()
        .map(|document| RevisionRow::new(status, &document.key, document.revision, None));
    let refused = status.refused_documents.iter().map(|document| {
        let reason = Some(document.reason.as_str());
        RevisionRow::new(status, &document.key, document.revision, reason)
    });
    in_force.chain(refused).collect()
}

impl RevisionRow {
    fn new(status: &StatusReply, document: &str, revision: u64, reason: Option<&str>) -> Self {
        Self {
            vm_name: status.vm_name.clone(),
            config_revision: status.config_revision,
            document: document.to_owned(),
            revision,
            state: reason.map_or(IN_FORCE, |_| REFUSED).to_owned(),
            reason: reason.unwrap_or_default().to_owned(),
        }
    }
}

fn table(rows: &[RevisionRow]) -> Table {
    let mut table = Table::new(&[
        "VM",
        "NEWEST SEEN",
        "DOCUMENT",
        "REVISION",
        "STATE",
        "REASON",
    ]);
    for row in rows {
        table.push([
            row.vm_name.clone(),
            row.config_revision.to_string(),
            row.document.clone(),
            row.revision.to_string(),
            row.state.clone(),
            row.reason.clone(),
        ]);
    }
    table
}
