//! Shows the processes of a fleet.

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_proc_macros::document;

use crate::ctl_error::CtlError;
use crate::peer_report::report_peers;
use crate::report::Report;
use crate::table::Table;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl status",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Shows processes with role, revision in force and requests in flight.

Usage: pomelorampctl status --peer IP:PORT... [--timeout-ms MS] [--json]

Options:
  --peer IP:PORT   peer address of a process; may be given several times
  --timeout-ms MS  longest wait for one process, 2000 by default
  --json           print JSON in place of a table
  -h, --help       print this text
  -V, --version    print the version
",
};

/// One process.
#[document]
struct StatusRow {
    vm_name: String,
    role: String,
    /// Hexadecimal digits.
    incarnation: String,
    draining: bool,
    config_revision: u64,
    in_flight_requests: u32,
    members: usize,
    refused_documents: usize,
    quarantined: usize,
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> Result<Report, CtlError> {
    report_peers(arguments, &TEXT, rows_of, table).await
}

fn rows_of(statuses: &[StatusReply]) -> Vec<StatusRow> {
    statuses.iter().map(StatusRow::from).collect()
}

impl From<&StatusReply> for StatusRow {
    fn from(status: &StatusReply) -> Self {
        Self {
            vm_name: status.vm_name.clone(),
            role: status.role.clone(),
            incarnation: format!("{:016x}", status.incarnation),
            draining: status.draining,
            config_revision: status.config_revision,
            in_flight_requests: status.in_flight_requests,
            members: status.members.len(),
            refused_documents: status.refused_documents.len(),
            quarantined: status.quarantined.len(),
        }
    }
}

fn table(rows: &[StatusRow]) -> Table {
    let mut table = Table::new(&[
        "VM",
        "ROLE",
        "INCARNATION",
        "DRAINING",
        "REVISION",
        "IN FLIGHT",
        "MEMBERS",
        "REFUSED",
        "QUARANTINED",
    ]);
    for row in rows {
        table.push([
            row.vm_name.clone(),
            row.role.clone(),
            row.incarnation.clone(),
            row.draining.to_string(),
            row.config_revision.to_string(),
            row.in_flight_requests.to_string(),
            row.members.to_string(),
            row.refused_documents.to_string(),
            row.quarantined.to_string(),
        ]);
    }
    table
}
