//! Who told a list of endpoints.

use std::fmt;

use pomeloramp_proc_macros::value;

/// Who told a list of endpoints.
#[value]
pub enum ListSource {
    /// The platform itself.
    Platform,
    /// Another entry, by its control address.
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
