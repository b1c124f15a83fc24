//! Prints where played days lost their credit, from the bench's report files.
//!
//! `lost-credit [--log FILE] [--svg FILE] REPORT...`: `--log` names a file with the log lines of
//! the entries of that play, which divides late streams by cause, and `--svg` one for a picture;
//! both need a single report. A file that can't be read or written ends the program with exit code
//! 2, before anything is printed.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use pomeloramp_reports::LateStreams;
use pomeloramp_reports::PlayedDay;
use pomeloramp_reports::ReportError;
use pomeloramp_reports::lost_credit_chart;
use pomeloramp_reports::lost_credit_tables;

const USAGE: &str = "usage: lost-credit [--log FILE] [--svg FILE] REPORT...";
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::from(EXIT_BAD_INPUT)
        }
    }
}

fn run() -> Result<String, String> {
    let mut arguments = pico_args::Arguments::from_env();
    let mut path_of = |name| {
        let value: Result<Option<PathBuf>, _> = arguments.opt_value_from_str(name);
        value.map_err(|error| format!("{error}\n{USAGE}"))
    };
    let log = path_of("--log")?;
    let svg = path_of("--svg")?;
    let reports: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    if reports.is_empty() || (reports.len() > 1 && (log.is_some() || svg.is_some())) {
        return Err(USAGE.to_owned());
    }
    if let Some(option) = reports
        .iter()
        .find(|path| path.to_string_lossy().starts_with("--"))
    {
        return Err(format!("unknown option {}\n{USAGE}", option.display()));
    }
    let to_text = |error: ReportError| error.to_string();
    let late = log.as_deref().map(LateStreams::read).transpose();
    let late = late.map_err(to_text)?;
    let mut text = String::new();
    for path in &reports {
        let day = PlayedDay::read(path).map_err(to_text)?;
        text += &lost_credit_tables(&name_of(path), &day, late.as_ref());
        if let Some(svg) = &svg {
            let chart = lost_credit_chart(&name_of(path), &day).map_err(to_text)?;
            let written = fs::write(svg, chart);
            written.map_err(|error| format!("{}: {error}", svg.display()))?;
        }
    }
    Ok(text)
}

fn name_of(path: &Path) -> String {
    path.file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned())
}
