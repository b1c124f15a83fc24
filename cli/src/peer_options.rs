//! The options of commands that ask running processes.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;

use crate::ctl_error::CtlError;
use crate::report::OutputFormat;

const DEFAULT_TIMEOUT_MS: u64 = 2000;

/// The options of commands that ask running processes.
#[derive(Debug)]
pub(crate) struct PeerOptions {
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) format: OutputFormat,
    /// Longest wait for one process.
    pub(crate) timeout: Duration,
}

impl PeerOptions {
    /// Reads the options and refuses what is left over.
    pub(crate) fn parse(mut arguments: Arguments, text: &ProgramText) -> Result<Self, CtlError> {
        let peers: Vec<SocketAddr> = arguments
            .values_from_str("--peer")
            .map_err(CtlError::from_pico)?;
        let timeout_ms = arguments
            .opt_value_from_str("--timeout-ms")
            .map_err(CtlError::from_pico)?
            .unwrap_or(DEFAULT_TIMEOUT_MS);
        let format = OutputFormat::parse(&mut arguments);
        text.refuse_remaining(arguments)?;
        if peers.is_empty() {
            return Err(CtlError::NoPeer);
        }
        Ok(Self {
            peers,
            format,
            timeout: Duration::from_millis(timeout_ms),
        })
    }
}
