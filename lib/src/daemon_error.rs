//! Why a daemon could not run.

use std::error::Error;
use std::io;

use snafu::Snafu;

/// Why a daemon could not run.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A setting is not an IP address with a port.
    #[snafu(display("setting \"{name}\": \"{value}\" is not an IP address with a port"))]
    Address {
        /// Name of the setting.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// A listening socket could not be opened.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// Address to listen on.
        address: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// A server ended with an error.
    #[snafu(display("serve {address}: {source}"))]
    Serve {
        /// Address served.
        address: String,
        /// What the library said.
        source: Box<dyn Error + Send + Sync>,
    },
}
