//! Options of the rank group stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use crate::option_values::optional;
use crate::option_values::optional_ms;
use crate::option_values::refuse_remaining;
use crate::option_values::required;
use crate::standin_error::StandinError;

const DEFAULT_RANKS: u32 = 4;
const DEFAULT_STEP_INTERVAL_MS: u64 = 20;
const DEFAULT_LAYERS: u32 = 2;
const DEFAULT_EXPERTS: u32 = 8;
const DEFAULT_SLOTS_PER_RANK: u32 = 3;
const DEFAULT_LOAD_PERIOD_MS: u64 = 600_000;
const DEFAULT_SEED: u64 = 1;

/// Options of the rank group stand-in.
#[derive(Debug, Clone)]
pub(crate) struct RankGroupOptions {
    pub(crate) listen: SocketAddr,
    pub(crate) ranks: u32,
    /// Time that a step takes when nothing holds it; zero for steps that a test asks for.
    pub(crate) step_interval: Duration,
    pub(crate) layers: u32,
    /// Experts of each layer.
    pub(crate) experts: u32,
    /// Experts of one layer that a rank has room for.
    pub(crate) slots_per_rank: u32,
    /// Time in which the popularity of every expert rises and falls once.
    pub(crate) load_period: Duration,
    pub(crate) seed: u64,
    /// Refuse orders whose fencing number is older than the newest seen.
    pub(crate) check_fencing: bool,
    /// Stage only maps whose weights were loaded.
    pub(crate) require_weights: bool,
}

impl RankGroupOptions {
    /// Reads the options from the command line.
    pub(crate) fn parse(mut arguments: Arguments) -> Result<Self, StandinError> {
        let options = Self {
            listen: required(&mut arguments, "--listen")?,
            ranks: optional(&mut arguments, "--ranks", DEFAULT_RANKS)?,
            step_interval: optional_ms(
                &mut arguments,
                "--step-interval-ms",
                DEFAULT_STEP_INTERVAL_MS,
            )?,
            layers: optional(&mut arguments, "--layers", DEFAULT_LAYERS)?,
            experts: optional(&mut arguments, "--experts", DEFAULT_EXPERTS)?,
            slots_per_rank: optional(&mut arguments, "--slots-per-rank", DEFAULT_SLOTS_PER_RANK)?,
            load_period: optional_ms(&mut arguments, "--load-period-ms", DEFAULT_LOAD_PERIOD_MS)?,
            seed: optional(&mut arguments, "--seed", DEFAULT_SEED)?,
            check_fencing: arguments.contains("--check-fencing"),
            require_weights: arguments.contains("--require-weights"),
        };
        refuse_remaining(arguments)?;
        Ok(options)
    }
}
