//! Checks a template file offline.

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;

use crate::ctl_error::CtlError;
use crate::report::OutputFormat;
use crate::report::Report;
use crate::template_file::TemplateFile;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl check",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Checks a template file as every process does, and shows the place of each problem.

Usage: pomelorampctl check FILE [--service NAME] [--json]

Options:
  --service NAME  require that the template is that of NAME, as its key services/NAME does
  --json          print the problems as JSON
  -h, --help      print this text
  -V, --version   print the version

Ends with 0 when the file is accepted and with 1 when it is refused.
",
};

/// Runs the command.
pub(crate) fn run(mut arguments: Arguments) -> Result<Report, CtlError> {
    if let Some(text) = TEXT.help_or_version(&mut arguments) {
        return Ok(Report::success(text));
    }
    let file = TemplateFile::parse(arguments, &TEXT)?;
    let report = match file.load()? {
        Ok(_) => Report::success(accepted(&file)),
        Err(failure) => failure,
    };
    Ok(report)
}

fn accepted(file: &TemplateFile) -> String {
    match file.format {
        OutputFormat::Table => format!("{}: accepted\n", file.path().display()),
        OutputFormat::Json => "[]\n".to_owned(),
    }
}
