//! Why streams were late, from the log lines of entries.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde_json::Value;
use snafu::ResultExt;

use crate::report_error::ReadFileSnafu;
use crate::report_error::ReportError;

/// Number of the log event at the end of a call.
const CALL_ENDED: &str = "E0606";

/// Streams that ended late, by the second of their arrival and by cause.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LateStreams {
    /// Streams whose first event came late, and streams with a long pause, by second.
    by_second: BTreeMap<i64, (u32, u32)>,
}

impl LateStreams {
    /// Reads the log lines of entries, each after the time at which it was written, in seconds.
    /// Other lines are ignored.
    ///
    /// # Errors
    ///
    /// Returns the path of a file that can't be read.
    pub fn read(path: &Path) -> Result<Self, ReportError> {
        let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
        let mut streams = Self::default();
        for line in text.lines() {
            streams.add_line(line);
        }
        Ok(streams)
    }

    /// Returns the numbers of streams that arrived from `from_s` until before `until_s`: those whose
    /// first event came late, and those with a long pause.
    #[must_use]
    pub fn between(&self, from_s: i64, until_s: i64) -> (u32, u32) {
        let counts = self.by_second.range(from_s..until_s);
        counts.fold((0, 0), |sum, (_, count)| (sum.0 + count.0, sum.1 + count.1))
    }

    fn add_line(&mut self, line: &str) -> Option<()> {
        let time_s: f64 = line.split_whitespace().next()?.parse().ok()?;
        let record: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
        if record["event"] != CALL_ENDED {
            return None;
        }
        let elapsed_ms: f64 = record["elapsed_ms"].as_str()?.parse().ok()?;
        #[expect(clippy::cast_possible_truncation)]
        let second = (time_s - elapsed_ms / 1e3).floor() as i64;
        let counts = self.by_second.entry(second).or_default();
        match record["late_by"].as_str()? {
            "first_event" => counts.0 += 1,
            "pause" => counts.1 += 1,
            _ => {}
        }
        Some(())
    }
}
