//! The bench's report of one played day.

use std::fs;
use std::path::Path;

use pomeloramp_proc_macros::document;
use snafu::ResultExt;

use crate::PlayedWindow;
use crate::report_error::ParseFileSnafu;
use crate::report_error::ReadFileSnafu;
use crate::report_error::ReportError;

/// The bench's report of one played day.
#[document]
pub struct PlayedDay {
    /// Worth of the day: weighted credit less prices.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Name, weight and value of each part of the credit.
    pub parts: Vec<(String, f64, f64)>,
    /// Name, amount and cost of each price; costs are in units of worth.
    pub prices: Vec<(String, f64, f64)>,
    /// Requests of the whole day.
    #[serde(rename = "all")]
    pub total: PlayedWindow,
    /// Requests by time window.
    pub windows: Vec<PlayedWindow>,
}

impl PlayedDay {
    /// Reads a report file.
    ///
    /// # Errors
    ///
    /// Returns the path of a file that can't be read, or is no report of a day.
    pub fn read(path: &Path) -> Result<Self, ReportError> {
        let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
        serde_json::from_str(&text).context(ParseFileSnafu { path })
    }
}
