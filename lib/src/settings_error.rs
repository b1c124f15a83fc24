//! Why settings were refused.

use std::fmt;

use pomeloramp_proc_macros::value;
use snafu::Snafu;

/// One reason for which settings were refused.
#[value]
pub struct SettingsProblem {
    /// Keys that lead to the value, joined by dots; empty for the whole document.
    pub path: String,
    /// Line of the settings file, counted from 1; absent when the value is not in the file.
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

/// Why settings were refused: every problem that was found.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", join(problems)))]
pub struct SettingsError {
    /// The problems, in the order of the settings file where they have a line.
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
