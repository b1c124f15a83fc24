//! Shows the processes that are leaving.

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_proc_macros::document;

use crate::ctl_error::CtlError;
use crate::peer_report::report_peers;
use crate::report::Report;
use crate::table::Table;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl draining",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Shows the processes that are leaving, with requests still in flight.

Usage: pomelorampctl draining --peer IP:PORT... [--timeout-ms MS] [--json]

Options:
  --peer IP:PORT   peer address of a process; may be given several times
  --timeout-ms MS  longest wait for one process, 2000 by default
  --json           print JSON in place of a table
  -h, --help       print this text
  -V, --version    print the version
",
};

/// One process that is leaving.
#[document]
struct DrainingRow {
    vm_name: String,
    role: String,
    in_flight_requests: u32,
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> Result<Report, CtlError> {
    report_peers(arguments, &TEXT, rows_of, table).await
}

fn rows_of(statuses: &[StatusReply]) -> Vec<DrainingRow> {
    statuses
        .iter()
        .filter(|status| status.draining)
        .map(DrainingRow::from)
        .collect()
}

impl From<&StatusReply> for DrainingRow {
    fn from(status: &StatusReply) -> Self {
        Self {
            vm_name: status.vm_name.clone(),
            role: status.role.clone(),
            in_flight_requests: status.in_flight_requests,
        }
    }
}

fn table(rows: &[DrainingRow]) -> Table {
    let mut table = Table::new(&["VM", "ROLE", "IN FLIGHT"]);
    for row in rows {
        table.push([
            row.vm_name.clone(),
            row.role.clone(),
            row.in_flight_requests.to_string(),
        ]);
    }
    table
}
