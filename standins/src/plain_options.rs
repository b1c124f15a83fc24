//! Options of the plain service stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use crate::option_values::optional;
use crate::option_values::optional_ms;
use crate::option_values::refuse_remaining;
use crate::option_values::required;
use crate::standin_error::StandinError;

const DEFAULT_CAPACITY: u32 = 8;
const DEFAULT_WORK_MS: u64 = 5;
const DEFAULT_REPORT_LAG_MS: u64 = 0;

/// Options of the plain service stand-in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlainOptions {
    pub(crate) listen: SocketAddr,
    /// Calls that run at once.
    pub(crate) capacity: u32,
    pub(crate) work: Duration,
    pub(crate) report_lag: Duration,
}

impl PlainOptions {
    /// Reads the options from the command line.
    pub(crate) fn parse(mut arguments: Arguments) -> Result<Self, StandinError> {
        let options = Self {
            listen: required(&mut arguments, "--listen")?,
            capacity: optional(&mut arguments, "--capacity", DEFAULT_CAPACITY)?,
            work: optional_ms(&mut arguments, "--work-ms", DEFAULT_WORK_MS)?,
            report_lag: optional_ms(&mut arguments, "--report-lag-ms", DEFAULT_REPORT_LAG_MS)?,
        };
        refuse_remaining(arguments)?;
        Ok(options)
    }
}
