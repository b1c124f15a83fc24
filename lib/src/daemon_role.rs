//! Roles of the daemon.

use pomeloramp_proc_macros::key;

const ENTRY_DEFAULTS: &str = include_str!("config/entry.yaml");
const ENDPOINT_DEFAULTS: &str = include_str!("config/endpoint.yaml");

/// A role of the daemon.
#[key]
pub enum DaemonRole {
    /// Accepts requests from callers and dispatches them to endpoints.
    Entry,
    /// Agent of the endpoint on the same VM.
    Endpoint,
}

impl DaemonRole {
    /// Returns the name of the role in settings and in the VM list.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Endpoint => "endpoint",
        }
    }

    /// Returns the role with the given name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Entry, Self::Endpoint]
            .into_iter()
            .find(|role| role.as_str() == name)
    }

    /// Returns the shipped default settings of the role, in YAML.
    #[must_use]
    pub fn default_settings(self) -> &'static str {
        match self {
            Self::Entry => ENTRY_DEFAULTS,
            Self::Endpoint => ENDPOINT_DEFAULTS,
        }
    }
}
