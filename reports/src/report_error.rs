//! Why a report could not be made.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a report could not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReportError {
    /// The directory does not exist and could not be made, or is no directory.
    #[snafu(display("report directory {path:?} could not be created: {source}"))]
    CreateDirectory {
        /// The directory.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// A file of the report could not be written.
    #[snafu(display("report file {path:?} could not be written: {source}"))]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// A file could not be read.
    #[snafu(display("{path:?} could not be read: {source}"))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// A file is no report of a played day.
    #[snafu(display("{path:?} is no report of a played day: {source}"))]
    ParseFile {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// The plotting library refused a chart.
    #[snafu(display("chart {title:?} could not be drawn: {reason}"))]
    Draw {
        /// Title of the chart.
        title: String,
        /// What the library said.
        reason: String,
    },
}
