//! The pomeloramp daemon.

mod log_ring;
mod ring_logger;

use std::env;
use std::fs;
use std::process::ExitCode;

use pico_args::Arguments;
use pomeloramp_lib::DaemonRole;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::USAGE_EXIT_CODE;
use pomeloramp_lib::event;
use pomeloramp_lib::load_settings;
use pomeloramp_lib::run_endpoint;
use pomeloramp_lib::run_entry;
use pomeloramp_lib::settings_role;
use pomeloramp_platform::PlatformError;
use pomeloramp_platform::PlatformSettings;
use tokio::runtime::Runtime;

use crate::ring_logger::RingLogger;

const LOG_VARIABLE: &str = "RUST_LOG";
const DEFAULT_LOG_FILTER: &str = "pomeloramp=info,warn";

const TEXT: ProgramText = ProgramText {
    name: "pomelorampd",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Runs one pomeloramp daemon: an entry, or the agent beside an endpoint.

Usage: pomelorampd --settings FILE
       pomelorampd --platform ROLE

Options:
  --settings FILE  settings in YAML; their key role selects \"entry\" or \"endpoint\"
  --platform ROLE  run \"entry\" or \"endpoint\" with the settings file that the users' platform names
  -h, --help       print this text
  -V, --version    print the version

SIGTERM and a first SIGINT drain; a second SIGINT stops at once.

Exit codes:
  0  drained
  1  the daemon could not run
  2  the arguments or the settings were refused
  130  stopped at once
",
};

fn main() -> ExitCode {
    let exit_code = run_program();
    log::logger().flush();
    exit_code
}

fn run_program() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if let Some(text) = TEXT.help_or_version(&mut arguments) {
        print!("{text}");
        return ExitCode::SUCCESS;
    }
    let platform_role: Option<String> = match arguments.opt_value_from_str("--platform") {
        Ok(role) => role,
        Err(error) => return refuse(&error.to_string()),
    };
    start_log(platform_role.is_some());
    if let Some(role) = platform_role {
        return match TEXT.refuse_remaining(arguments) {
            Ok(()) => run_on_platform(&role),
            Err(error) => refuse(&error.to_string()),
        };
    }
    let path: Result<String, _> = arguments.value_from_str("--settings");
    if let Err(error) = TEXT.refuse_remaining(arguments) {
        return refuse(&error.to_string());
    }
    match path {
        Ok(path) => run(&path),
        Err(error) => refuse(&error.to_string()),
    }
}

/// Starts logging: lines of JSON on standard output for the users' platform, else text for people
/// on standard error.
fn start_log(is_structured: bool) {
    let filter = env_logger::Env::default().filter_or(LOG_VARIABLE, DEFAULT_LOG_FILTER);
    let mut builder = env_logger::Builder::from_env(filter);
    if is_structured {
        RingLogger::install(builder.build());
    } else {
        builder.init();
    }
}

fn run(path: &str) -> ExitCode {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return refuse(&format!("settings file \"{path}\": {error}")),
    };
    let loaded = settings_role(&text).and_then(|role| Ok((role, load_settings(role, &text)?)));
    let (role, settings) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            event!(SettingsRefused, "{error}");
            return refuse(&format!("settings file \"{path}\": {error}"));
        }
    };
    let runtime = Runtime::new().expect("the runtime starts its threads");
    let result = match role {
        DaemonRole::Entry => runtime.block_on(run_entry(settings)),
        DaemonRole::Endpoint => runtime.block_on(run_endpoint(settings)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            event!(ListenFailed, "{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a role with the settings that the users' platform writes.
fn run_on_platform(role: &str) -> ExitCode {
    let settings = match PlatformSettings::load() {
        Ok(settings) => settings,
        Err(error) => return refuse(&error.to_string()),
    };
    let runtime = Runtime::new().expect("the runtime starts its threads");
    let result = match DaemonRole::from_name(role) {
        Some(DaemonRole::Entry) => runtime.block_on(pomeloramp_platform::run_entry(settings)),
        Some(DaemonRole::Endpoint) => runtime.block_on(pomeloramp_platform::run_agent(settings)),
        None => {
            return refuse(&format!("role \"{role}\" does not exist on the platform"));
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(PlatformError::Settings { source }) => {
            event!(SettingsRefused, "{source}");
            refuse(&source.to_string())
        }
        Err(PlatformError::Daemon { source }) => {
            event!(ListenFailed, "{source}");
            ExitCode::FAILURE
        }
    }
}

fn refuse(reason: &str) -> ExitCode {
    eprintln!("{}: {reason}", TEXT.name);
    ExitCode::from(USAGE_EXIT_CODE)
}
