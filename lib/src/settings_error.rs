//! Errors for refused settings.

use std::fmt;

use pomeloramp_proc_macros::value;
use snafu::Snafu;

/// One problem for which settings were refused.
#[value]
pub struct SettingsProblem {
    /// Path of the value: its keys joined by dots; empty for the whole document.
    pub path: String,
    /// Line in the settings file, counted from 1; `None` when the value is not in the file.
    pub line: Option<usize>,
    /// What is wrong with the value.
    pub reason: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        formatter.write_str(&self.reason)
    }
}

/// Error for refused settings, with every problem that was found.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", join(problems)))]
pub struct SettingsError {
    /// The problems, ordered by line; those without a line come last.
    pub problems: Vec<SettingsProblem>,
}

impl From<SettingsProblem> for SettingsError {
    fn from(problem: SettingsProblem) -> Self {
        Self {
            problems: vec![problem],
        }
    }
}

fn join(problems: &[SettingsProblem]) -> String {
    problems
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}
