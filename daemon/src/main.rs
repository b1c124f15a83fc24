//! The pomeloramp daemon.

use std::process::ExitCode;

use pico_args::Arguments;
use pomeloramp_lib::DaemonRole;
use pomeloramp_lib::USAGE_EXIT_CODE;
use pomeloramp_lib::load_settings;
use pomeloramp_lib::run_endpoint;
use pomeloramp_lib::run_entry;
use pomeloramp_lib::settings_role;
use tokio::runtime::Runtime;

fn main() -> ExitCode {
    env_logger::init();
    let mut arguments = Arguments::from_env();
    let Ok(path) = arguments.value_from_str::<_, String>("--settings") else {
        eprintln!("option \"--settings\" is missing");
        return ExitCode::from(USAGE_EXIT_CODE);
    };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("settings file \"{path}\": {error}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    let loaded = settings_role(&text).and_then(|role| Ok((role, load_settings(role, &text)?)));
    let (role, settings) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("settings file \"{path}\": {error}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    let runtime = Runtime::new().expect("the runtime starts its threads");
    let result = match role {
        DaemonRole::Entry => runtime.block_on(run_entry(settings)),
        DaemonRole::Endpoint => runtime.block_on(run_endpoint(settings)),
    };
    if let Err(error) = result {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
