//! Stand-ins for the platform and the endpoints, for tests and the local fleet.
//!
//! One process plays one program: the platform, a model engine, a plain service or a
//! group of ranks.

mod cache_event;
mod cache_event_log;
mod call_meter;
mod config_store;
mod config_value;
mod config_watch;
mod engine;
mod engine_load;
mod engine_options;
mod engine_scheduler;
mod execution_counts;
mod http_answer;
mod http_server;
mod load_history;
mod option_values;
mod order_log;
mod plain;
mod plain_faults;
mod plain_options;
mod platform;
mod platform_faults;
mod platform_options;
mod prefix_cache;
mod rank_engine;
mod rank_group;
mod rank_group_options;
mod rank_loads;
mod rank_order;
mod refusal;
mod standin_error;
mod step_log;
mod token_text;
mod vm_list;
mod vm_record;
mod weight_store;

use std::process::ExitCode;

use pico_args::Arguments;
use snafu::ResultExt;

use crate::engine_options::EngineOptions;
use crate::plain_options::PlainOptions;
use crate::platform_options::PlatformOptions;
use crate::rank_group_options::RankGroupOptions;
use crate::standin_error::ArgumentsSnafu;
use crate::standin_error::StandinError;
use crate::standin_error::UnknownProgramSnafu;

const USAGE_EXIT_CODE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match run(Arguments::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pomeloramp-standin: {error}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

async fn run(mut arguments: Arguments) -> Result<(), StandinError> {
    let program = arguments.subcommand().context(ArgumentsSnafu)?;
    match program.as_deref() {
        Some("platform") => platform::serve(PlatformOptions::parse(arguments)?).await,
        Some("engine") => engine::serve(EngineOptions::parse(arguments)?).await,
        Some("plain") => plain::serve(PlainOptions::parse(arguments)?).await,
        Some("rank-group") => rank_group::serve(RankGroupOptions::parse(arguments)?).await,
        other => UnknownProgramSnafu {
            program: other.unwrap_or_default(),
        }
        .fail(),
    }
}
