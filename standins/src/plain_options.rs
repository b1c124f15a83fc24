//! Options of the plain service stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;
use snafu::ResultExt;

use crate::standin_error::ArgumentsSnafu;
use crate::standin_error::StandinError;
use crate::standin_error::refuse_rest;

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
        let listen = arguments
            .value_from_str("--listen")
            .context(ArgumentsSnafu)?;
        let capacity = arguments
            .opt_value_from_str("--capacity")
            .context(ArgumentsSnafu)?
            .unwrap_or(DEFAULT_CAPACITY);
        let work_ms = arguments
            .opt_value_from_str("--work-ms")
            .context(ArgumentsSnafu)?
            .unwrap_or(DEFAULT_WORK_MS);
        let report_lag_ms = arguments
            .opt_value_from_str("--report-lag-ms")
            .context(ArgumentsSnafu)?
            .unwrap_or(DEFAULT_REPORT_LAG_MS);
        refuse_rest(arguments)?;
        Ok(Self {
            listen,
            capacity,
            work: Duration::from_millis(work_ms),
            report_lag: Duration::from_millis(report_lag_ms),
        })
    }
}
