//! Why a stand-in did not start.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why a stand-in did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum StandinError {
    #[snafu(display("the arguments are not valid: {source}"))]
    Arguments { source: pico_args::Error },
    #[snafu(display("unknown argument {argument:?}"))]
    UnknownArgument { argument: String },
    #[snafu(display(
        "unknown program {program:?}, expected platform, engine, plain or rank-group"
    ))]
    UnknownProgram { program: String },
    #[snafu(display("listening on {listen} failed: {source}"))]
    Listen {
        listen: SocketAddr,
        source: io::Error,
    },
    #[snafu(display("serving on {listen} failed: {reason}"))]
    Serve { listen: SocketAddr, reason: String },
}
