//! Options of the engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use crate::option_values::optional;
use crate::option_values::optional_ms;
use crate::option_values::refuse_remaining;
use crate::option_values::required;
use crate::standin_error::StandinError;

const DEFAULT_CAPACITY: u32 = 8;
const DEFAULT_TOKEN_INTERVAL_MS: u64 = 10;
const DEFAULT_PREFILL_TOKENS_PER_S: u64 = 20_000;
const DEFAULT_REPORT_LAG_MS: u64 = 200;
const DEFAULT_CACHE_BLOCKS: usize = 4096;
const DEFAULT_CACHE_EVENT_LAG_MS: u64 = 500;
const DEFAULT_LOSE_CACHE_EVENT_EVERY: u64 = 50;

/// Options of the engine stand-in.
#[derive(Debug, Clone)]
pub(crate) struct EngineOptions {
    pub(crate) listen: SocketAddr,
    /// Requests in the batch at once.
    pub(crate) capacity: u32,
    pub(crate) token_interval: Duration,
    pub(crate) prefill_tokens_per_s: u64,
    pub(crate) report_lag: Duration,
    /// Blocks of prompts that the prefix cache holds.
    pub(crate) cache_blocks: usize,
    pub(crate) cache_event_lag: Duration,
    /// Cache events whose sequence is a multiple of this are lost; zero loses none.
    pub(crate) lose_cache_event_every: u64,
    /// Refuse orders whose fencing number is older than the newest seen.
    pub(crate) check_fencing: bool,
}

impl EngineOptions {
    /// Reads the options from the command line.
    pub(crate) fn parse(mut arguments: Arguments) -> Result<Self, StandinError> {
        let options = Self {
            listen: required(&mut arguments, "--listen")?,
            capacity: optional(&mut arguments, "--capacity", DEFAULT_CAPACITY)?,
            token_interval: optional_ms(
                &mut arguments,
                "--token-interval-ms",
                DEFAULT_TOKEN_INTERVAL_MS,
            )?,
            prefill_tokens_per_s: optional(
                &mut arguments,
                "--prefill-tokens-per-s",
                DEFAULT_PREFILL_TOKENS_PER_S,
            )?,
            report_lag: optional_ms(&mut arguments, "--report-lag-ms", DEFAULT_REPORT_LAG_MS)?,
            cache_blocks: optional(&mut arguments, "--cache-blocks", DEFAULT_CACHE_BLOCKS)?,
            cache_event_lag: optional_ms(
                &mut arguments,
                "--cache-event-lag-ms",
                DEFAULT_CACHE_EVENT_LAG_MS,
            )?,
            lose_cache_event_every: optional(
                &mut arguments,
                "--lose-cache-event-every",
                DEFAULT_LOSE_CACHE_EVENT_EVERY,
            )?,
            check_fencing: arguments.contains("--check-fencing"),
        };
        refuse_remaining(arguments)?;
        Ok(options)
    }
}
