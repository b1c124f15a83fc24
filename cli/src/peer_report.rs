//! The run that all commands share that show what processes answer.

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::protos::control::StatusReply;
use serde::Serialize;

use crate::ctl_error::CtlError;
use crate::peer_options::PeerOptions;
use crate::peer_query::ask_peers;
use crate::report::Report;
use crate::table::Table;

/// Asks the peers that the arguments name and shows the rows made of their answers.
pub(crate) async fn report_peers<R: Serialize>(
    mut arguments: Arguments,
    text: &ProgramText,
    rows_of: impl FnOnce(&[StatusReply]) -> Vec<R>,
    table: impl FnOnce(&[R]) -> Table,
) -> Result<Report, CtlError> {
    if let Some(text) = text.help_or_version(&mut arguments) {
        return Ok(Report::success(text));
    }
    let options = PeerOptions::parse(arguments, text)?;
    let answers = ask_peers(&options).await;
    let rows = rows_of(&answers.statuses);
    Ok(Report::of_rows(
        options.format,
        &rows,
        table,
        &answers.failures,
    ))
}
