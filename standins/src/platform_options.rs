//! Options of the platform stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use crate::option_values::optional;
use crate::option_values::optional_ms;
use crate::option_values::refuse_remaining;
use crate::option_values::required;
use crate::standin_error::StandinError;

const DEFAULT_CALL_LIMIT_PER_S: u64 = 2000;
const DEFAULT_VM_LIST_LAG_MS: u64 = 0;
const DEFAULT_WEIGHT_BYTES_PER_S: u64 = 64 << 20;
const DEFAULT_WEIGHT_BYTES: u64 = 1 << 20;

/// Options of the platform stand-in.
#[derive(Debug)]
pub(crate) struct PlatformOptions {
    pub(crate) listen: SocketAddr,
    pub(crate) call_limit_per_s: u64,
    pub(crate) vm_list_lag: Duration,
    /// Bytes that the weight store sends to all its readers together.
    pub(crate) weight_bytes_per_s: u64,
    /// Size of each expert's weights.
    pub(crate) weight_bytes: u64,
}

impl PlatformOptions {
    /// Reads the options from the command line.
    pub(crate) fn parse(mut arguments: Arguments) -> Result<Self, StandinError> {
        let options = Self {
            listen: required(&mut arguments, "--listen")?,
            call_limit_per_s: optional(
                &mut arguments,
                "--call-limit-per-s",
                DEFAULT_CALL_LIMIT_PER_S,
            )?,
            vm_list_lag: optional_ms(&mut arguments, "--vm-list-lag-ms", DEFAULT_VM_LIST_LAG_MS)?,
            weight_bytes_per_s: optional(
                &mut arguments,
                "--weight-bytes-per-s",
                DEFAULT_WEIGHT_BYTES_PER_S,
            )?,
            weight_bytes: optional(&mut arguments, "--weight-bytes", DEFAULT_WEIGHT_BYTES)?,
        };
        refuse_remaining(arguments)?;
        Ok(options)
    }
}
