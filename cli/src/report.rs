//! What a command prints and ends with.

use pico_args::Arguments;
use serde::Serialize;

use crate::ctl_error::CtlError;
use crate::exit::Exit;
use crate::table::Table;

/// What a command prints and ends with.
#[derive(Debug)]
pub(crate) struct Report {
    /// Goes to standard output.
    pub(crate) text: String,
    /// Go to standard error, one a line.
    pub(crate) complaints: Vec<String>,
    pub(crate) exit: Exit,
}

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Table,
    Json,
}

impl OutputFormat {
    /// Takes `--json` from the arguments.
    pub(crate) fn parse(arguments: &mut Arguments) -> Self {
        if arguments.contains("--json") {
            Self::Json
        } else {
            Self::Table
        }
    }
}

impl Report {
    /// Creates a report of a command that succeeded.
    pub(crate) fn success(text: String) -> Self {
        Self {
            text,
            complaints: Vec::new(),
            exit: Exit::Success,
        }
    }

    /// Creates a report that shows `rows`, with `failures` as complaints.
    pub(crate) fn of_rows<R: Serialize>(
        format: OutputFormat,
        rows: &[R],
        table: impl FnOnce(&[R]) -> Table,
        failures: &[CtlError],
    ) -> Self {
        let text = match format {
            OutputFormat::Table => table(rows).to_string(),
            OutputFormat::Json => json_text(rows),
        };
        Self {
            text,
            complaints: failures.iter().map(ToString::to_string).collect(),
            exit: failures.first().map_or(Exit::Success, CtlError::exit),
        }
    }
}

impl From<CtlError> for Report {
    fn from(error: CtlError) -> Self {
        Self {
            text: String::new(),
            complaints: vec![error.to_string()],
            exit: error.exit(),
        }
    }
}

/// Returns `value` in JSON, ended by a line break.
pub(crate) fn json_text(value: &(impl Serialize + ?Sized)) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("rows serialise");
    text.push('\n');
    text
}
