//! Decisions, messages and services of the pomeloramp load balancer.
//!
//! Decisions are plain state machines: events and the time go in, actions come out. Threads and
//! sockets live in modules of their own and drive them.

mod agent_channels;
mod agent_server;
mod arguments;
mod caller_error;
mod clock;
mod completion;
mod config_duty;
mod config_view;
mod control_loop;
mod daemon_error;
mod daemon_role;
mod duty;
mod endpoint_client;
mod endpoint_daemon;
mod entry_daemon;
mod entry_server;
mod events;
mod http_client;
mod incarnation;
mod outcome;
mod plain_call;
mod platform_client;
pub mod protos;
mod routing_duty;
mod settings_check;
mod settings_error;
mod settings_ranges;
mod yaml_location;

pub use arguments::ArgumentsError;
pub use arguments::ProgramText;
pub use arguments::USAGE_EXIT_CODE;
pub use arguments::nearest;
pub use arguments::unknown_command;
pub use clock::Clock;
pub use config_view::hex_digest;
pub use daemon_error::DaemonError;
pub use daemon_role::DaemonRole;
pub use endpoint_daemon::run_endpoint;
pub use entry_daemon::run_entry;
pub use events::Event;
pub use events::log_event;
pub use incarnation::Incarnation;
pub use outcome::Outcome;
pub use settings_check::load_settings;
pub use settings_check::settings_role;
pub use settings_error::SettingsError;
pub use settings_error::SettingsProblem;
pub use yaml_location::line_of;
