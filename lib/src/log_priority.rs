//! Which log lines find room when the others no longer do.

use log::Level;

/// Begin of the events of the process itself: its start, its drain and its end.
const PROCESS_EVENT_PREFIX: &str = "E00";

/// Which log lines find room when the others no longer do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogPriority {
    /// Lines of single requests and of changes that are expected.
    Routine,
    /// Warnings, errors, and the start, the drain and the end of the process.
    High,
}

impl LogPriority {
    /// Returns the priority of a record.
    #[must_use]
    pub fn of(level: Level, message: &str) -> Self {
        if level <= Level::Warn || message.starts_with(PROCESS_EVENT_PREFIX) {
            Self::High
        } else {
            Self::Routine
        }
    }
}
