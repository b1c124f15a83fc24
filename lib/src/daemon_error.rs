//! Errors that end a daemon.

use std::error::Error;
use std::io;

use snafu::Snafu;

/// Error that prevents a daemon from starting or continuing.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A setting is not an IP address with a port.
    #[snafu(display("setting \"{name}\": \"{value}\" is not an IP address with a port"))]
    Address {
        /// Name of the setting.
        name: &'static str,
        /// Value of the setting.
        value: String,
    },
    /// A listening socket could not be opened.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// Address to listen on.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A server ended with an error.
    #[snafu(display("serve {address}: {source}"))]
    Serve {
        /// Address of the server.
        address: String,
        /// Error of the server library.
        source: Box<dyn Error + Send + Sync>,
    },
}
