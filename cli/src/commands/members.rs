//! Shows what each process knows of the others.

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::protos::control::MemberStatus;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_proc_macros::document;

use crate::ctl_error::CtlError;
use crate::peer_report::report_peers;
use crate::report::Report;
use crate::table::Table;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl members",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Shows what each process knows of the others.

Usage: pomelorampctl members --peer IP:PORT... [--timeout-ms MS] [--json]

Options:
  --peer IP:PORT   peer address of a process; may be given several times
  --timeout-ms MS  longest wait for one process, 2000 by default
  --json           print JSON in place of a table
  -h, --help       print this text
  -V, --version    print the version
",
};

/// What one process knows of another.
#[document]
struct MemberRow {
    /// Name of the process that was asked.
    vm_name: String,
    member: String,
    service: String,
    state: String,
    /// Hexadecimal digits.
    incarnation: String,
    config_revision: u64,
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> Result<Report, CtlError> {
    report_peers(arguments, &TEXT, rows_of, table).await
}

fn rows_of(statuses: &[StatusReply]) -> Vec<MemberRow> {
    statuses
        .iter()
        .flat_map(|status| {
            let members = status.members.iter();
            members.map(|member| MemberRow::new(&status.vm_name, member))
        })
        .collect()
}

impl MemberRow {
    fn new(vm_name: &str, member: &MemberStatus) -> Self {
        Self {
            vm_name: vm_name.to_owned(),
            member: member.vm_name.clone(),
            service: member.service.clone(),
            state: member.state.clone(),
            incarnation: format!("{:016x}", member.incarnation),
            config_revision: member.config_revision,
        }
    }
}

fn table(rows: &[MemberRow]) -> Table {
    let mut table = Table::new(&[
        "VM",
        "MEMBER",
        "SERVICE",
        "STATE",
        "INCARNATION",
        "REVISION",
    ]);
    for row in rows {
        table.push([
            row.vm_name.clone(),
            row.member.clone(),
            row.service.clone(),
            row.state.clone(),
            row.incarnation.clone(),
            row.config_revision.to_string(),
        ]);
    }
    table
}
