//! Decisions, messages and services of the pomeloramp load balancer.
//!
//! Decisions are plain state machines: events and the time go in, actions come out. Threads and
//! sockets live in modules of their own and drive them.

mod agent_channels;
mod agent_server;
mod caller_error;
mod caller_server;
mod clock;
mod completion;
mod config_duty;
mod config_view;
mod control_loop;
mod daemon_error;
mod duty;
mod endpoint_client;
mod endpoint_daemon;
mod entry_daemon;
mod entry_server;
mod http_client;
mod in_flight;
mod incarnation;
mod listener;
mod outcome;
mod peer_server;
mod plain_call;
mod platform_client;
pub mod protos;
mod routing_duty;
mod shutdown;

pub use clock::Clock;
pub use config_view::hex_digest;
pub use daemon_error::DaemonError;
pub use endpoint_daemon::run_endpoint;
pub use entry_daemon::run_entry;
pub use incarnation::Incarnation;
pub use outcome::Outcome;
