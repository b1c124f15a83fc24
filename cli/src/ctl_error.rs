//! Why a command failed.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use pomeloramp_lib::ArgumentsError;
use snafu::Snafu;

use crate::exit::Exit;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CtlError {
    #[snafu(transparent)]
    Arguments { source: ArgumentsError },
    #[snafu(display("at least one --peer is needed"))]
    NoPeer,
    #[snafu(display("a FILE is needed"))]
    NoFile,
    #[snafu(display("an --organisation is needed"))]
    NoOrganisationGiven,
    #[snafu(display("{}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display(
        "organisation {organisation:?} does not exist in {}, which has {known}",
        path.display()
    ))]
    NoOrganisation {
        organisation: String,
        path: PathBuf,
        known: String,
    },
    #[snafu(display("connect to {peer}: {}", root_cause(source)))]
    Connect {
        peer: SocketAddr,
        source: tonic::transport::Error,
    },
    #[snafu(display("status of {peer}: {} ({:?})", source.message(), source.code()))]
    Status {
        peer: SocketAddr,
        source: Box<tonic::Status>,
    },
}

impl CtlError {
    /// Wraps what the argument parser reports.
    pub(crate) fn from_pico(source: pico_args::Error) -> Self {
        Self::Arguments {
            source: ArgumentsError::Invalid { source },
        }
    }

    /// Returns the exit code that the error ends the command with.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Arguments { .. }
            | Self::NoPeer
            | Self::NoFile
            | Self::NoOrganisationGiven
            | Self::Read { .. }
            | Self::NoOrganisation { .. } => Exit::Usage,
            Self::Connect { .. } | Self::Status { .. } => Exit::Unreachable,
        }
    }
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
