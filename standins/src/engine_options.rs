//! Options of the engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;
use snafu::ResultExt;

use crate::standin_error::ArgumentsSnafu;
use crate::standin_error::StandinError;
use crate::standin_error::refuse_rest;

const DEFAULT_CAPACITY: u32 = 8;
const DEFAULT_TOKEN_INTERVAL_MS: u64 = 10;
const DEFAULT_PREFILL_TOKENS_PER_S: u64 = 20_000;
const DEFAULT_REPORT_LAG_MS: u64 = 200;

/// Options of the engine stand-in.
#[derive(Debug, Clone)]
pub(crate) struct EngineOptions {
    pub(crate) listen: SocketAddr,
    /// Requests in the batch at once.
    pub(crate) capacity: u32,
    pub(crate) token_interval: Duration,
    pub(crate) prefill_tokens_per_s: u64,
    pub(crate) report_lag: Duration,
    /// Refuse orders whose fencing number is older than the newest seen.
    pub(crate) check_fencing: bool,
}

impl EngineOptions {
    /// Reads the options from the command line.
    pub(crate) fn parse(mut arguments: Arguments) -> Result<Self, StandinError> {
        let listen = arguments
            .value_from_str("--listen")
            .context(ArgumentsSnafu)?;
        let capacity = arguments
            .opt_value_from_str("--capacity")
            .context(ArgumentsSnafu)?
            .unwrap_or(DEFAULT_CAPACITY);
        let token_interval_ms = arguments
            .opt_value_from_str("--token-interval-ms")
            .context(ArgumentsSnafu)?
            .unwrap_or(DEFAULT_TOKEN_INTERVAL_MS);
        let prefill_tokens_per_s = arguments
            .opt_value_from_str("--prefill-tokens-per-s")
            .context(ArgumentsSnafu)?
            .unwrap_or(DEFAULT_PREFILL_TOKENS_PER_S);
        let report_lag_ms = arguments
            .opt_value_from_str("--report-lag-ms")
            .context(ArgumentsSnafu)?
            .unwrap_or(DEFAULT_REPORT_LAG_MS);
        let check_fencing = arguments.contains("--check-fencing");
        refuse_rest(arguments)?;
        Ok(Self {
            listen,
            capacity,
            token_interval: Duration::from_millis(token_interval_ms),
            prefill_tokens_per_s,
            report_lag: Duration::from_millis(report_lag_ms),
            check_fencing,
        })
    }
}
