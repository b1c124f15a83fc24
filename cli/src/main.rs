//! The command-line tool for operators of pomeloramp.
//!
//! Every command prints a table, or JSON with `--json`. See [`exit::Exit`] for the exit codes.

mod commands;
mod ctl_error;
mod exit;
mod peer_options;
mod peer_query;
mod peer_report;
mod report;
mod table;
mod template_file;

use std::io::Write;
use std::process::ExitCode;

use pico_args::Arguments;
use pomeloramp_lib::ArgumentsError;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::unknown_command;

use crate::ctl_error::CtlError;
use crate::report::Report;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Shows and checks a pomeloramp fleet.

Usage: pomelorampctl COMMAND [ARGUMENTS]

Commands:
  check       check a template file, with the place of each problem
  render      what a template yields for one organisation
  status      processes with role, revision in force and requests in flight
  members     what each process knows of the others
  revisions   documents in force and refused documents, per process
  draining    processes that are leaving, with requests still in flight
  quarantine  content that is refused because it crashed endpoints
  idle        used, lent and idle time per organisation, over all peers given
  ranks       ranks of groups with their expert maps and what they wait for

Options:
  -h, --help     print this text, or that of a command
  -V, --version  print the version

Exit codes:
  0  success
  1  the check failed
  2  the arguments were refused
  3  a process did not answer
",
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    env_logger::init();
    let report = match run(Arguments::from_env()).await {
        Ok(report) => report,
        Err(error) => Report::from(error),
    };
    // A reader that went away, such as a pager, is no failure of the command.
    let _ = std::io::stdout().write_all(report.text.as_bytes());
    for complaint in &report.complaints {
        eprintln!("pomelorampctl: {complaint}");
    }
    report.exit.into()
}

async fn run(mut arguments: Arguments) -> Result<Report, CtlError> {
    let command = arguments.subcommand().map_err(CtlError::from_pico)?;
    match command.as_deref() {
        Some("check") => commands::check::run(arguments),
        Some("render") => commands::render::run(arguments),
        Some("status") => commands::status::run(arguments).await,
        Some("members") => commands::members::run(arguments).await,
        Some("revisions") => commands::revisions::run(arguments).await,
        Some("draining") => commands::draining::run(arguments).await,
        Some("quarantine") => commands::quarantine::run(arguments).await,
        Some("idle") => commands::idle::run(arguments).await,
        Some("ranks") => commands::ranks::run(arguments).await,
        Some(other) => Err(unknown_command(other, &commands::NAMES).into()),
        None => run_without_command(arguments),
    }
}

fn run_without_command(mut arguments: Arguments) -> Result<Report, CtlError> {
    if let Some(text) = TEXT.help_or_version(&mut arguments) {
        return Ok(Report::success(text));
    }
    TEXT.refuse_remaining(arguments)?;
    let known = commands::NAMES.join(", ");
    Err(ArgumentsError::NoCommand { known }.into())
}
