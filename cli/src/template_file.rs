//! Reading a template file for the commands that work offline.

use std::path::Path;
use std::path::PathBuf;

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::TemplateProblem;
use pomeloramp_lib::check_template;
use pomeloramp_lib::protos::template::ServiceTemplate;
use pomeloramp_proc_macros::document;
use serde::Deserialize;
use snafu::ResultExt;

use crate::ctl_error::CtlError;
use crate::ctl_error::ReadSnafu;
use crate::exit::Exit;
use crate::report::OutputFormat;
use crate::report::Report;
use crate::report::json_text;

/// Where to find a template and how to print what becomes of it.
#[derive(Debug)]
pub(crate) struct TemplateFile {
    path: PathBuf,
    /// Name that the template must have; its own one if absent.
    service: Option<String>,
    pub(crate) format: OutputFormat,
}

/// One problem of a template, as it is printed.
#[document]
struct ProblemRow {
    line: usize,
    column: usize,
    path: String,
    message: String,
}

/// The part of a template that names it.
#[derive(Debug, Deserialize)]
struct NamedDocument {
    service: String,
}

impl TemplateFile {
    /// Reads the options and the file name, and refuses what is left over.
    pub(crate) fn parse(mut arguments: Arguments, text: &ProgramText) -> Result<Self, CtlError> {
        let service = arguments
            .opt_value_from_str("--service")
            .map_err(CtlError::from_pico)?;
        let format = OutputFormat::parse(&mut arguments);
        let path = arguments
            .opt_free_from_str::<PathBuf>()
            .map_err(CtlError::from_pico)?
            .ok_or(CtlError::NoFile)?;
        if path.as_os_str().as_encoded_bytes().starts_with(b"-") {
            return Err(text.unknown_argument(&path.to_string_lossy()).into());
        }
        text.refuse_remaining(arguments)?;
        Ok(Self {
            path,
            service,
            format,
        })
    }

    /// Reads and validates the template; what is wrong with it becomes the report.
    pub(crate) fn load(&self) -> Result<Result<ServiceTemplate, Report>, CtlError> {
        let document = std::fs::read(&self.path).context(ReadSnafu { path: &self.path })?;
        let service = self.service.clone().unwrap_or_else(|| own_name(&document));
        Ok(check_template(&service, &document).map_err(|problems| self.failure(&problems)))
    }

    /// Returns the name of the file.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    fn failure(&self, problems: &[TemplateProblem]) -> Report {
        let text = match self.format {
            OutputFormat::Table => self.problem_lines(problems),
            OutputFormat::Json => {
                let rows: Vec<ProblemRow> = problems.iter().map(ProblemRow::from).collect();
                json_text(&rows)
            }
        };
        Report {
            text,
            complaints: Vec::new(),
            exit: Exit::CheckFailed,
        }
    }

    fn problem_lines(&self, problems: &[TemplateProblem]) -> String {
        let path = self.path.display();
        problems
            .iter()
            .map(|problem| format!("{path}: {problem}\n"))
            .collect::<Vec<_>>()
            .concat()
    }
}

/// Reads the name that a template gives itself; empty when it gives none.
fn own_name(document: &[u8]) -> String {
    serde_norway::from_slice::<NamedDocument>(document)
        .map(|named| named.service)
        .unwrap_or_default()
}

impl From<&TemplateProblem> for ProblemRow {
    fn from(problem: &TemplateProblem) -> Self {
        Self {
            line: problem.location.line,
            column: problem.location.column,
            path: problem.path.clone(),
            message: problem.message.clone(),
        }
    }
}
