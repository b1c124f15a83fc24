//! Shows the ranks of expert-parallel groups and the maps they agree on.

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::protos::control::RankStatus;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_proc_macros::document;

use crate::ctl_error::CtlError;
use crate::peer_report::report_peers;
use crate::report::Report;
use crate::table::Table;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl ranks",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Shows the ranks of groups with their expert maps and what they wait for.

Usage: pomelorampctl ranks --peer IP:PORT... [--timeout-ms MS] [--json]

Options:
  --peer IP:PORT   peer address of a process; may be given several times
  --timeout-ms MS  longest wait for one process, 2000 by default
  --json           print JSON in place of a table
  -h, --help       print this text
  -V, --version    print the version
",
};

/// One rank.
#[document]
struct RankRow {
    group: String,
    rank: u32,
    vm_name: String,
    group_incarnation: u64,
    step: u64,
    /// Hexadecimal digits.
    active_map: String,
    /// Hexadecimal digits, empty when no map is undecided.
    undecided_map: String,
    /// Step before which the rank waits for the decision; zero when no map is staged.
    switch_step: u64,
    /// Hexadecimal digits.
    highest_ballot: String,
    held_ms: u64,
    waits_for: String,
    committed_plans: u64,
    aborted_plans: u64,
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> Result<Report, CtlError> {
    report_peers(arguments, &TEXT, rows_of, table).await
}

fn rows_of(statuses: &[StatusReply]) -> Vec<RankRow> {
    let ranks = statuses.iter().filter_map(|status| {
        let rank = status.rank.as_ref()?;
        Some(RankRow::new(&status.vm_name, rank))
    });
    let mut rows: Vec<RankRow> = ranks.collect();
    rows.sort_by(|a, b| (&a.group, a.rank).cmp(&(&b.group, b.rank)));
    rows
}

impl RankRow {
    fn new(vm_name: &str, rank: &RankStatus) -> Self {
        let map = rank.map.unwrap_or_default();
        let undecided_map = if map.prepared_map_id == 0 {
            String::new()
        } else {
            hexadecimal(map.prepared_map_id)
        };
        Self {
            group: rank.group.clone(),
            rank: rank.rank,
            vm_name: vm_name.to_owned(),
            group_incarnation: map.group_incarnation,
            step: map.current_step,
            active_map: hexadecimal(map.active_map_id),
            undecided_map,
            switch_step: map.switch_step,
            highest_ballot: hexadecimal(map.highest_ballot),
            held_ms: map.held_ms,
            waits_for: rank.waits_for.clone(),
            committed_plans: rank.committed_plans,
            aborted_plans: rank.aborted_plans,
        }
    }
}

fn hexadecimal(number: u64) -> String {
    format!("{number:016x}")
}

fn table(rows: &[RankRow]) -> Table {
    let mut table = Table::new(&[
        "GROUP",
        "RANK",
        "VM",
        "FORMATION",
        "STEP",
        "ACTIVE MAP",
        "UNDECIDED MAP",
        "SWITCH STEP",
        "BALLOT",
        "HELD MS",
        "WAITS FOR",
    ]);
    for row in rows {
        table.push([
            row.group.clone(),
            row.rank.to_string(),
            row.vm_name.clone(),
            row.group_incarnation.to_string(),
            row.step.to_string(),
            row.active_map.clone(),
            row.undecided_map.clone(),
            row.switch_step.to_string(),
            row.highest_ballot.clone(),
            row.held_ms.to_string(),
            row.waits_for.clone(),
        ]);
    }
    table
}
