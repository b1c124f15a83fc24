//! Shows used, lent, idle and borrowed time per organisation.

use std::collections::BTreeMap;

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_proc_macros::document;

use crate::ctl_error::CtlError;
use crate::peer_options::PeerOptions;
use crate::peer_query::ask_peers;
use crate::report::Report;
use crate::table::Table;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl idle",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Shows used, lent, idle and borrowed time per organisation, summed over all peers given. With --json,
each borrower's time is shown as well.

Usage: pomelorampctl idle --peer IP:PORT... [--organisation NAME] [--timeout-ms MS] [--json]

Options:
  --peer IP:PORT   peer address of a process; may be given several times
  --organisation NAME
                   show this organisation only
  --timeout-ms MS  longest wait for one process, 2000 by default
  --json           print JSON in place of a table
  -h, --help       print this text
  -V, --version    print the version
",
};

/// Capacity time of one organisation at one service; one slot gives one second a second.
#[document]
#[derive(Default)]
struct IdleRow {
    organisation: String,
    service: String,
    /// Endpoints that were summed.
    endpoints: usize,
    /// Used by the organisation itself.
    used_ms: u64,
    /// Its share, used by others.
    lent_ms: u64,
    /// Its share, used by nobody.
    idle_ms: u64,
    /// Others' shares, used by it.
    borrowed_ms: u64,
    /// To whom the lent time went.
    lent_to_ms: BTreeMap<String, u64>,
}

/// Runs the command.
pub(crate) async fn run(mut arguments: Arguments) -> Result<Report, CtlError> {
    if let Some(text) = TEXT.help_or_version(&mut arguments) {
        return Ok(Report::success(text));
    }
    let organisation: Option<String> = arguments
        .opt_value_from_str("--organisation")
        .map_err(CtlError::from_pico)?;
    let options = PeerOptions::parse(arguments, &TEXT)?;
    let answers = ask_peers(&options).await;
    let mut rows = summed(&answers.statuses);
    if let Some(organisation) = organisation {
        rows.retain(|row| row.organisation == organisation);
    }
    Ok(Report::of_rows(
        options.format,
        &rows,
        table,
        &answers.failures,
    ))
}

fn summed(statuses: &[StatusReply]) -> Vec<IdleRow> {
    let mut by_owner: BTreeMap<(&str, &str), IdleRow> = BTreeMap::new();
    for time in statuses.iter().flat_map(|status| &status.idle_times) {
        let row = by_owner
            .entry((&time.organisation, &time.service))
            .or_default();
        row.endpoints += 1;
        row.used_ms += time.used_ms;
        row.lent_ms += time.lent_ms;
        row.idle_ms += time.idle_ms;
        row.borrowed_ms += time.borrowed_ms;
        for share in &time.lent_to {
            let lent_ms = row.lent_to_ms.entry(share.borrower.clone()).or_default();
            *lent_ms += share.lent_ms;
        }
    }
    by_owner
        .into_iter()
        .map(|((organisation, service), row)| IdleRow {
            organisation: organisation.to_owned(),
            service: service.to_owned(),
            ..row
        })
        .collect()
}

fn table(rows: &[IdleRow]) -> Table {
    let mut table = Table::new(&[
        "ORGANISATION",
        "SERVICE",
        "ENDPOINTS",
        "USED MS",
        "LENT MS",
        "IDLE MS",
        "BORROWED MS",
        "LENT MOST TO",
    ]);
    for row in rows {
        table.push([
            row.organisation.clone(),
            row.service.clone(),
            row.endpoints.to_string(),
            row.used_ms.to_string(),
            row.lent_ms.to_string(),
            row.idle_ms.to_string(),
            row.borrowed_ms.to_string(),
            largest_borrower(row),
        ]);
    }
    table
}

/// Names the organisation to which most was lent, or nobody.
fn largest_borrower(row: &IdleRow) -> String {
    let largest = row.lent_to_ms.iter().max_by_key(|(_, lent_ms)| **lent_ms);
    largest.map_or_else(|| "-".to_owned(), |(borrower, _)| borrower.clone())
}
