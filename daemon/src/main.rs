//! The pomeloramp daemon.

use std::process::ExitCode;

use pico_args::Arguments;
use pomeloramp_lib::run_endpoint;
use pomeloramp_lib::run_entry;

fn main() -> ExitCode {
    env_logger::init();
    let mut arguments = Arguments::from_env();
    let Ok(path) = arguments.value_from_str::<_, String>("--settings") else {
        eprintln!("option \"--settings\" is missing");
        return ExitCode::from(2);
    };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("settings file \"{path}\": {error}");
            return ExitCode::from(2);
        }
    };
    let settings: pomeloramp_lib::protos::settings::DaemonSettings =
        match serde_norway::from_str(&text) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("settings file \"{path}\": {error}");
                return ExitCode::from(2);
            }
        };
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts its threads");
    let result = match settings.role.as_str() {
        "entry" => runtime.block_on(run_entry(settings)),
        _ => runtime.block_on(run_endpoint(settings)),
    };
    if let Err(error) = result {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
