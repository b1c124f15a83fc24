//! The source of a list of endpoints.

use std::fmt;

use pomeloramp_proc_macros::value;

/// The source of a list of endpoints.
#[value]
pub enum ListSource {
    /// The list was read from the platform.
    Platform,
    /// The list was fetched from another entry, given by its control address.
    Entry(String),
}

impl fmt::Display for ListSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => formatter.write_str("platform"),
            Self::Entry(address) => formatter.write_str(address),
        }
    }
}
