//! Faults that tests switch on at the plain service.

use serde::Deserialize;
use serde::Serialize;

/// How the plain service treats the calls that it gets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PlainFault {
    /// Calls are run and answered.
    #[default]
    None,
    /// Calls are run and never answered.
    Hang,
    /// Calls are run, and the connection breaks in the place of the answer.
    DropAnswer,
    /// Calls take longer.
    Slow,
    /// Calls are run, and the process exits before the answer.
    CrashAfterRun,
}

/// The fault to set.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct PlainFaults {
    pub(crate) mode: PlainFault,
    /// Added to every call in the mode "slow".
    pub(crate) slow_ms: u64,
}
