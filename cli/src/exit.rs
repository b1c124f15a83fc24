//! The exit codes of the tool.

use std::process::ExitCode;

use pomeloramp_lib::USAGE_EXIT_CODE;
use pomeloramp_proc_macros::key;

/// How a command ended.
#[key]
pub(crate) enum Exit {
    /// Exit code 0.
    Success,
    /// Exit code 1: the checked file was refused.
    CheckFailed,
    /// Exit code 2: the arguments were refused.
    Usage,
    /// Exit code 3: a process did not answer.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::SUCCESS,
            Exit::CheckFailed => Self::from(1),
            Exit::Usage => Self::from(USAGE_EXIT_CODE),
            Exit::Unreachable => Self::from(3),
        }
    }
}
