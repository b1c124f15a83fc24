//! Options of the platform stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;
use snafu::ResultExt;

use crate::standin_error::ArgumentsSnafu;
use crate::standin_error::StandinError;
use crate::standin_error::refuse_rest;

const DEFAULT_CALL_LIMIT_PER_S: u64 = 2000;

/// Options of the platform stand-in.
#[derive(Debug)]
pub(crate) struct PlatformOptions {
    pub(crate) listen: SocketAddr,
    pub(crate) call_limit_per_s: u64,
    pub(crate) vm_list_lag: Duration,
}

impl PlatformOptions {
    /// Reads the options from the command line.
    pub(crate) fn parse(mut arguments: Arguments) -> Result<Self, StandinError> {
        let listen = arguments
            .value_from_str("--listen")
            .context(ArgumentsSnafu)?;
        let call_limit_per_s = arguments
            .opt_value_from_str("--call-limit-per-s")
            .context(ArgumentsSnafu)?
            .unwrap_or(DEFAULT_CALL_LIMIT_PER_S);
        let vm_list_lag_ms = arguments
            .opt_value_from_str("--vm-list-lag-ms")
            .context(ArgumentsSnafu)?
            .unwrap_or(0);
        refuse_rest(arguments)?;
        Ok(Self {
            listen,
            call_limit_per_s,
            vm_list_lag: Duration::from_millis(vm_list_lag_ms),
        })
    }
}
